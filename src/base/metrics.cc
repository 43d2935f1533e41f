#include "base/metrics.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace cowslipknot {
namespace {

constexpr unsigned kBins = 24;
constexpr double kLowestMs = 0.5;
constexpr double kHighestMs = 120000;

std::string Braces(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string WithBound(const std::string& labels, const std::string& bound) {
  const std::string le = "le=\"" + bound + "\"";
  return "{" + (labels.empty() ? le : labels + "," + le) + "}";
}

}  // namespace

MetricSet::Distribution::Distribution()
    : histogram(std::make_tuple(Axis(kBins, kLowestMs, kHighestMs))) {}

void MetricSet::Add(const std::string& name, const std::string& labels,
                    std::uint64_t count) {
  m_counters[{name, labels}] += count;
}

void MetricSet::Observe(const std::string& name, const std::string& labels,
                        Milliseconds value) {
  Distribution& distribution = m_distributions[{name, labels}];
  const auto ms = static_cast<double>(value.count());
  distribution.histogram(std::max(ms, kLowestMs));
  distribution.sum_ms += ms;
  ++distribution.count;
}

void MetricSet::Merge(const MetricSet& other) {
  for (const auto& [series, count] : other.m_counters) {
    m_counters[series] += count;
  }
  for (const auto& [series, distribution] : other.m_distributions) {
    Distribution& mine = m_distributions[series];
    mine.histogram += distribution.histogram;
    mine.sum_ms += distribution.sum_ms;
    mine.count += distribution.count;
  }
}

std::string MetricSet::Render() const {
  std::ostringstream out;
  std::set<std::string> typed;
  for (const auto& [series, count] : m_counters) {
    if (typed.insert(series.name).second) {
      out << "# TYPE " << series.name << " counter\n";
    }
    out << series.name << Braces(series.labels) << " " << count << "\n";
  }
  for (const auto& [series, distribution] : m_distributions) {
    if (typed.insert(series.name).second) {
      out << "# TYPE " << series.name << " histogram\n";
    }
    double below = distribution.histogram.at(-1);
    const auto& axis = distribution.histogram.axis();
    for (int bin = 0; bin < axis.size(); ++bin) {
      below += distribution.histogram.at(bin);
      std::ostringstream bound;
      bound << axis.value(bin + 1);
      out << series.name << "_bucket" << WithBound(series.labels, bound.str())
          << " " << below << "\n";
    }
    out << series.name << "_bucket" << WithBound(series.labels, "+Inf") << " "
        << distribution.count << "\n";
    out << series.name << "_sum" << Braces(series.labels) << " "
        << distribution.sum_ms << "\n";
    out << series.name << "_count" << Braces(series.labels) << " "
        << distribution.count << "\n";
  }
  return out.str();
}

std::uint64_t MetricSet::Counter(const std::string& name,
                                 const std::string& labels) const {
  const auto found = m_counters.find({name, labels});
  return found == m_counters.end() ? 0 : found->second;
}

std::string Label(std::string_view key, std::string_view value) {
  std::string text(key);
  text += "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    text += c == '\n' ? ' ' : c;
  }
  return text + "\"";
}

}  // namespace cowslipknot
