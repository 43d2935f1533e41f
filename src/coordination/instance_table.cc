#include "cowslipknot/gateway/instance_table.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// Maximum time between two reads of the reports while the store responds: the
/// longest interval between reads plus a slow call.
constexpr std::chrono::milliseconds kMaxReadInterval(4000);

}  // namespace

void InstanceTable::Observe(std::map<std::string, InstanceReport> reports,
                            Time now, StoreEra era) {
  const Time gap = now - m_last_observed;
  if (m_last_observed.count() > 0 && gap > kMaxReadInterval) {
    for (auto& [key, tracked] : m_reports) tracked.last_change += gap;
  }
  m_last_observed = now;
  const bool restored = era > m_era;
  m_era = era;
  for (auto& [key, tracked] : m_reports) {
    tracked.lost = !reports.contains(key) && (restored || tracked.lost);
  }
  std::erase_if(m_reports, [&reports](const auto& item) {
    return !item.second.lost && !reports.contains(item.first);
  });
  for (auto& [key, report] : reports) {
    const auto known = m_reports.find(key);
    if (known == m_reports.end()) {
      m_reports[key] = TrackedReport{std::move(report), now};
    } else if (report.sequence > known->second.report.sequence) {
      known->second = TrackedReport{std::move(report), now};
    }
  }
  m_latest_start.clear();
  for (const auto& [key, tracked] : m_reports) {
    auto& latest_start = m_latest_start[tracked.report.node];
    latest_start = std::max(latest_start, tracked.report.started_ms);
  }
}

bool InstanceTable::HasEnded(const TrackedReport& tracked) const {
  const auto latest_start = m_latest_start.find(tracked.report.node);
  const bool replaced = latest_start != m_latest_start.end() &&
                        latest_start->second > tracked.report.started_ms;
  return replaced || tracked.report.stopping;
}

bool InstanceTable::IsServing(const TrackedReport& tracked, Time now) const {
  return !HasEnded(tracked) && now - tracked.last_change < m_lifetime;
}

std::vector<const InstanceReport*> InstanceTable::Serving(Time now) const {
  std::vector<const InstanceReport*> serving;
  for (const auto& [key, tracked] : m_reports) {
    if (IsServing(tracked, now)) serving.push_back(&tracked.report);
  }
  return serving;
}

std::vector<const InstanceReport*> InstanceTable::All() const {
  std::vector<const InstanceReport*> all;
  for (const auto& [key, tracked] : m_reports) all.push_back(&tracked.report);
  return all;
}

bool InstanceTable::IsSuperseded(const std::string& key,
                                 std::uint64_t sequence) const {
  const auto known = m_reports.find(key);
  return known != m_reports.end() && sequence < known->second.report.sequence;
}

const InstanceReport* InstanceTable::Predecessor(const NodeId& node,
                                                 std::uint64_t started) const {
  const InstanceReport* latest = nullptr;
  for (const auto& [key, tracked] : m_reports) {
    const InstanceReport& report = tracked.report;
    if (report.node != node || report.started_ms >= started) continue;
    if (latest == nullptr || report.started_ms > latest->started_ms)
      latest = &report;
  }
  return latest;
}

WindowCounts InstanceTable::SumWindow(std::uint64_t window) const {
  WindowCounts sum;
  for (const auto& [key, tracked] : m_reports) {
    const auto counts = tracked.report.usage.Windows().find(window);
    if (counts == tracked.report.usage.Windows().end()) continue;
    for (const auto& [workspace, count] : counts->second) {
      sum[workspace] += count;
    }
  }
  return sum;
}

std::optional<std::uint64_t> InstanceTable::FirstWindow() const {
  std::optional<std::uint64_t> first;
  for (const auto& [key, tracked] : m_reports) {
    const auto& windows = tracked.report.usage.Windows();
    if (windows.empty()) continue;
    first = std::min(first.value_or(windows.begin()->first),
                     windows.begin()->first);
  }
  return first;
}

bool InstanceTable::IsWindowComplete(std::int64_t start_ms, std::int64_t end_ms,
                                     Time now) const {
  return std::all_of(m_reports.begin(), m_reports.end(), [&](const auto& item) {
    const TrackedReport& tracked = item.second;
    const std::int64_t as_of = tracked.report.as_of_ms;
    if (HasEnded(tracked) || as_of >= end_ms) return true;
    return !IsServing(tracked, now) && as_of + m_lifetime.count() <= start_ms;
  });
}

std::vector<std::string> InstanceTable::ObsoleteKeys(std::uint64_t window,
                                                     Time now) const {
  std::vector<std::string> obsolete;
  for (const auto& [key, tracked] : m_reports) {
    if (!tracked.lost && IsObsolete(tracked, window, now))
      obsolete.push_back(key);
  }
  return obsolete;
}

bool InstanceTable::IsObsolete(const TrackedReport& tracked,
                               std::uint64_t window, Time now) const {
  const auto& windows = tracked.report.usage.Windows();
  const bool counted = !windows.empty() && windows.rbegin()->first >= window;
  return !counted && !IsServing(tracked, now);
}

void InstanceTable::ForgetLost(std::uint64_t window, Time now) {
  std::erase_if(m_reports, [&](const auto& item) {
    return item.second.lost && IsObsolete(item.second, window, now);
  });
}

}  // namespace cowslipknot::gateway
