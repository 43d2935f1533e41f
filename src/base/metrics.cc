#include "base/metrics.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace cowslipknot {
namespace {

constexpr unsigned kBuckets = 24;
constexpr double kMinMs = 0.5;
constexpr double kMaxMs = 120000;

std::string FormatLabels(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string FormatBucketLabels(const std::string& labels,
                               const std::string& bound) {
  const std::string le = "le=\"" + bound + "\"";
  return "{" + (labels.empty() ? le : labels + "," + le) + "}";
}

}  // namespace

MetricSet::HistogramSeries::HistogramSeries()
    : histogram(std::make_tuple(Axis(kBuckets, kMinMs, kMaxMs))) {}

void MetricSet::Add(const std::string& name, const std::string& labels,
                    std::uint64_t count) {
  m_counters[{name, labels}] += count;
}

void MetricSet::Observe(const std::string& name, const std::string& labels,
                        Milliseconds value) {
  HistogramSeries& entry = m_histograms[{name, labels}];
  const auto ms = static_cast<double>(value.count());
  entry.histogram(std::max(ms, kMinMs));
  entry.sum_ms += ms;
  ++entry.count;
}

void MetricSet::Merge(const MetricSet& other) {
  for (const auto& [series, count] : other.m_counters) {
    m_counters[series] += count;
  }
  for (const auto& [series, entry] : other.m_histograms) {
    HistogramSeries& merged = m_histograms[series];
    merged.histogram += entry.histogram;
    merged.sum_ms += entry.sum_ms;
    merged.count += entry.count;
  }
}

std::string MetricSet::Render() const {
  std::ostringstream out;
  std::set<std::string> declared;
  for (const auto& [series, count] : m_counters) {
    if (declared.insert(series.name).second) {
      out << "# TYPE " << series.name << " counter\n";
    }
    out << series.name << FormatLabels(series.labels) << " " << count << "\n";
  }
  for (const auto& [series, entry] : m_histograms) {
    if (declared.insert(series.name).second) {
      out << "# TYPE " << series.name << " histogram\n";
    }
    double cumulative = entry.histogram.at(-1);
    const auto& axis = entry.histogram.axis();
    for (int bucket = 0; bucket < axis.size(); ++bucket) {
      cumulative += entry.histogram.at(bucket);
      std::ostringstream bound;
      bound << axis.value(bucket + 1);
      out << series.name << "_bucket"
          << FormatBucketLabels(series.labels, bound.str()) << " " << cumulative
          << "\n";
    }
    out << series.name << "_bucket" << FormatBucketLabels(series.labels, "+Inf")
        << " " << entry.count << "\n";
    out << series.name << "_sum" << FormatLabels(series.labels) << " "
        << entry.sum_ms << "\n";
    out << series.name << "_count" << FormatLabels(series.labels) << " "
        << entry.count << "\n";
  }
  return out.str();
}

std::uint64_t MetricSet::Counter(const std::string& name,
                                 const std::string& labels) const {
  const auto found = m_counters.find({name, labels});
  return found == m_counters.end() ? 0 : found->second;
}

std::string FormatLabel(std::string_view key, std::string_view value) {
  std::string text(key);
  text += "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    text += c == '\n' ? ' ' : c;
  }
  return text + "\"";
}

}  // namespace cowslipknot
