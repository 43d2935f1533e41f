#include "load_report.h"

#include <algorithm>
#include <cmath>

#include "base/clock.h"

namespace cowslipknot::load {
namespace {

namespace json = boost::json;

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(fraction * last))];
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
  if (!options.history_path.empty()) {
    m_history.open(options.history_path, std::ios::app);
  }
}

void LoadReport::WriteHistory(const std::string& event, json::object fields) {
  if (!m_history.is_open()) return;
  fields["time_ms"] = NowWall().Count();
  fields["what"] = event;
  m_history << json::serialize(fields) << std::endl;
}

void LoadReport::AddSample(Sample sample) {
  m_samples.push_back(std::move(sample));
}

json::object LoadReport::Summary(double elapsed_s) const {
  std::map<std::string, std::vector<const Sample*>> samples_by_kind;
  for (const auto& sample : m_samples) {
    samples_by_kind[sample.kind].push_back(&sample);
  }
  json::object summary;
  summary["requests"] = m_samples.size();
  summary["elapsed_s"] = elapsed_s;
  std::size_t in_target = 0;
  for (const auto& [kind, samples] : samples_by_kind) {
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<double> first_tokens;
    std::vector<double> totals;
    std::vector<double> token_gaps;
    std::uint64_t resumed = 0;
    std::uint64_t broken = 0;
    std::size_t kind_in_target = 0;
    for (const Sample* sample : samples) {
      ++outcomes[sample->outcome];
      resumed += static_cast<std::uint64_t>(sample->resumed);
      broken += static_cast<std::uint64_t>(sample->broken);
      if (sample->outcome != "ok") continue;
      if (sample->first_token_ms >= 0) {
        first_tokens.push_back(sample->first_token_ms);
      }
      totals.push_back(sample->total_ms);
      token_gaps.insert(token_gaps.end(), sample->token_gaps_ms.begin(),
                        sample->token_gaps_ms.end());
      const bool met_target =
          sample->first_token_ms <=
          static_cast<double>(m_options.first_token_target.count());
      kind_in_target += met_target ? 1 : 0;
    }
    in_target += kind_in_target;
    json::object row;
    json::object counts;
    for (const auto& [outcome, count] : outcomes) counts[outcome] = count;
    row["outcomes"] = std::move(counts);
    row["first_token_ms"] = Percentiles(first_tokens);
    row["total_ms"] = Percentiles(totals);
    row["between_tokens_ms"] = Percentiles(token_gaps);
    row["resumed"] = resumed;
    row["broken"] = broken;
    row["in_target"] = kind_in_target;
    summary[kind] = std::move(row);
  }
  summary["in_target"] = in_target;
  return summary;
}

}  // namespace cowslipknot::load
