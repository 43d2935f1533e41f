#include "load_report.h"

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace cowslipknot::load {
namespace {

namespace json = boost::json;

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(share * last))];
}

json::object Percentiles(const std::vector<double>& values) {
  json::object row;
  row["p50"] = Percentile(values, 0.50);
  row["p95"] = Percentile(values, 0.95);
  row["p99"] = Percentile(values, 0.99);
  return row;
}

}  // namespace

LoadReport::LoadReport(const LoadOptions& options) : m_options(options) {
  if (!options.history.empty()) {
    m_history.open(options.history, std::ios::app);
  }
}

void LoadReport::Write(const std::string& what, json::object fields) {
  if (!m_history.is_open()) return;
  fields["time_ms"] = NowWall().Count();
  fields["what"] = what;
  m_history << json::serialize(fields) << std::endl;
}

void LoadReport::Add(Sample sample) { m_samples.push_back(std::move(sample)); }

json::object LoadReport::Summary(double elapsed_s) const {
  std::map<std::string, std::vector<const Sample*>> kinds;
  for (const auto& sample : m_samples) kinds[sample.kind].push_back(&sample);
  json::object summary;
  summary["requests"] = m_samples.size();
  summary["elapsed_s"] = elapsed_s;
  std::size_t in_target = 0;
  for (const auto& [kind, samples] : kinds) {
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<double> first;
    std::vector<double> total;
    std::vector<double> gaps;
    std::uint64_t resumed = 0;
    std::uint64_t broken = 0;
    std::size_t kind_in_target = 0;
    for (const Sample* sample : samples) {
      ++outcomes[sample->outcome];
      resumed += static_cast<std::uint64_t>(sample->resumed);
      broken += static_cast<std::uint64_t>(sample->broken);
      if (sample->outcome != "ok") continue;
      if (sample->first_ms >= 0) first.push_back(sample->first_ms);
      total.push_back(sample->total_ms);
      gaps.insert(gaps.end(), sample->gaps_ms.begin(), sample->gaps_ms.end());
      const bool timely =
          sample->first_ms <= static_cast<double>(m_options.target.count());
      kind_in_target += timely ? 1 : 0;
    }
    in_target += kind_in_target;
    json::object row;
    json::object counts;
    for (const auto& [outcome, count] : outcomes) counts[outcome] = count;
    row["outcomes"] = std::move(counts);
    row["first_token_ms"] = Percentiles(first);
    row["total_ms"] = Percentiles(total);
    row["between_tokens_ms"] = Percentiles(gaps);
    row["resumed"] = resumed;
    row["broken"] = broken;
    row["in_target"] = kind_in_target;
    summary[kind] = std::move(row);
  }
  summary["in_target"] = in_target;
  return summary;
}

}  // namespace cowslipknot::load
