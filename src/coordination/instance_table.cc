#include "cowslipknot/gateway/instance_table.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// Longest time between two reads of the reports while the store answers:
/// the longest pause between them and a slow call.
constexpr std::chrono::milliseconds kLongestGap(4000);

}  // namespace

void InstanceTable::Observe(std::map<std::string, InstanceReport> reports,
                            Time now) {
  const Time gap = now - m_observed;
  if (m_observed.count() > 0 && gap > kLongestGap) {
    for (auto& [key, seen] : m_seen) seen.changed += gap;
  }
  m_observed = now;
  std::erase_if(m_seen, [&reports](const auto& item) {
    return !reports.contains(item.first);
  });
  for (auto& [key, report] : reports) {
    const auto known = m_seen.find(key);
    if (known == m_seen.end()) {
      m_seen[key] = Seen{std::move(report), now};
    } else if (report.sequence > known->second.report.sequence) {
      known->second = Seen{std::move(report), now};
    }
  }
  m_newest.clear();
  for (const auto& [key, seen] : m_seen) {
    auto& newest = m_newest[seen.report.node];
    newest = std::max(newest, seen.report.started);
  }
}

bool InstanceTable::HasEnded(const Seen& seen) const {
  const auto newest = m_newest.find(seen.report.node);
  const bool replaced =
      newest != m_newest.end() && newest->second > seen.report.started;
  return replaced || seen.report.stopping;
}

bool InstanceTable::IsServing(const Seen& seen, Time now) const {
  return !HasEnded(seen) && now - seen.changed < m_lifetime;
}

std::vector<const InstanceReport*> InstanceTable::Serving(Time now) const {
  std::vector<const InstanceReport*> serving;
  for (const auto& [key, seen] : m_seen) {
    if (IsServing(seen, now)) serving.push_back(&seen.report);
  }
  return serving;
}

const InstanceReport* InstanceTable::Predecessor(const NodeId& node,
                                                 std::uint64_t started) const {
  const InstanceReport* latest = nullptr;
  for (const auto& [key, seen] : m_seen) {
    const InstanceReport& report = seen.report;
    if (report.node != node || report.started >= started) continue;
    if (latest == nullptr || report.started > latest->started) latest = &report;
  }
  return latest;
}

WindowCounts InstanceTable::Sum(std::uint64_t window) const {
  WindowCounts sum;
  for (const auto& [key, seen] : m_seen) {
    const auto counts = seen.report.usage.Windows().find(window);
    if (counts == seen.report.usage.Windows().end()) continue;
    for (const auto& [workspace, count] : counts->second) {
      sum[workspace] += count;
    }
  }
  return sum;
}

std::optional<std::uint64_t> InstanceTable::FirstWindow() const {
  std::optional<std::uint64_t> first;
  for (const auto& [key, seen] : m_seen) {
    const auto& windows = seen.report.usage.Windows();
    if (windows.empty()) continue;
    first = std::min(first.value_or(windows.begin()->first),
                     windows.begin()->first);
  }
  return first;
}

bool InstanceTable::Complete(std::int64_t start_ms, std::int64_t end_ms,
                             Time now) const {
  return std::all_of(m_seen.begin(), m_seen.end(), [&](const auto& item) {
    const Seen& seen = item.second;
    const std::int64_t as_of = seen.report.as_of_ms;
    if (HasEnded(seen) || as_of >= end_ms) return true;
    return !IsServing(seen, now) && as_of + m_lifetime.count() <= start_ms;
  });
}

std::vector<std::string> InstanceTable::Obsolete(std::uint64_t window,
                                                 Time now) const {
  std::vector<std::string> obsolete;
  for (const auto& [key, seen] : m_seen) {
    const auto& windows = seen.report.usage.Windows();
    const bool counted = !windows.empty() && windows.rbegin()->first >= window;
    if (!counted && !IsServing(seen, now)) obsolete.push_back(key);
  }
  return obsolete;
}

}  // namespace cowslipknot::gateway
