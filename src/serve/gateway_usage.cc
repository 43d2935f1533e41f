#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/gateway_duties.h"
#include "serve/own_rows.h"

/// Usage reports: one for each window, the same whoever sends it.
namespace cowslipknot::gateway {
namespace {

/// After a window's end, the instances have written its counts.
constexpr Milliseconds kCountsWritten(1500);
/// Part of the time until usage is due that instances without the store are
/// waited for.
constexpr double kWaitPart = 0.8;
constexpr std::uint64_t kMaxWindowsBehind = 6;

std::string UsageKey(std::uint64_t window) {
  return std::string(own_rows::kUsagePrefix) + std::to_string(window);
}

}  // namespace

Awaitable<Result<WindowCounts>> Duties::CommitUsage(std::uint64_t window) {
  const auto known = m_committed.find(window);
  if (known != m_committed.end()) co_return known->second;
  const WindowCounts counts = m_instances.Sum(window);
  StoreChange change;
  change.conditions.push_back(own_rows::Row(UsageKey(window)));
  change.writes.push_back(
      own_rows::Row(UsageKey(window), EncodeCounts(counts)));
  if (window >= own_rows::kWindowsKept) {
    const std::uint64_t old = window - own_rows::kWindowsKept;
    change.removals.push_back(own_rows::Row(UsageKey(old)));
    for (const auto& key : m_instances.Obsolete(old, BootTime())) {
      change.removals.push_back(own_rows::Row(key));
    }
  }
  const auto changed = co_await Change(std::move(change));
  if (!changed) co_return tl::make_unexpected(changed.error());
  m_committed[window] = counts;
  co_return counts;
}

Awaitable<bool> Duties::SendUsage(std::uint64_t window) {
  auto counts = co_await CommitUsage(window);
  if (!counts || !HoldsLease()) co_return false;
  UsageReport report;
  report.window = window;
  report.counts = std::move(*counts);
  DutyHolder holder;
  holder.node = m_settings.node;
  holder.epoch = m_lease.CurrentEpoch();
  const CallOutcome outcome =
      co_await m_dialect.report_usage(std::move(holder), std::move(report));
  if (outcome != CallOutcome::kAccepted) {
    LogEvent(Event::kUsageNotAccepted, {{"window", std::to_string(window)}});
    co_return false;
  }
  LogEvent(Event::kUsageReported, {{"window", std::to_string(window)}});
  m_done = window;
  StoreChange change;
  change.conditions.push_back(
      own_rows::Row(own_rows::kDoneKey, {}, m_done_version));
  change.writes.push_back(
      own_rows::Row(own_rows::kDoneKey, std::to_string(window)));
  const auto changed = co_await Change(std::move(change));
  if (changed) m_done_version = changed->version;
  co_return true;
}

Awaitable<void> Duties::ReportUsage() {
  const auto now = SharedNowMs();
  if (!now) co_return;
  const std::int64_t length = m_settings.usage_window.count();
  const auto current = static_cast<std::uint64_t>(*now / length);
  // The first report is of the first window in which a request began, or the
  // latest whose counts are written.
  const auto written =
      static_cast<std::uint64_t>((*now - kCountsWritten.count()) / length);
  const std::uint64_t first = m_instances.FirstWindow().value_or(written - 1);
  std::uint64_t window = m_done ? *m_done + 1 : std::min(first, written - 1);
  if (current > kMaxWindowsBehind) {
    window = std::max(window, current - kMaxWindowsBehind);
  }
  for (; window < current; ++window) {
    const std::int64_t end = static_cast<std::int64_t>(window + 1) * length;
    const auto patience = static_cast<std::int64_t>(
        static_cast<double>(m_settings.usage_due.count()) * kWaitPart);
    if (*now < end + kCountsWritten.count()) co_return;
    const bool whole = m_instances.Complete(end - length, end, BootTime());
    if (!whole && *now < end + patience) co_return;
    if (!co_await SendUsage(window)) co_return;
  }
}

}  // namespace cowslipknot::gateway
