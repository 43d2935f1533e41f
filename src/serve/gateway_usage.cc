#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/store_rows.h"

/// Usage reports: one per window, identical whichever instance sends it.
namespace cowslipknot::gateway {
namespace {

/// Time after a window's end until the instances have written its counts.
constexpr Milliseconds kCountsWrittenDelay(1500);
/// Fraction of Settings::usage_report_timeout for which a report waits for
/// instances that cannot reach the store.
constexpr double kIncompleteWaitFraction = 0.8;
/// Obsolete reports deleted with each window, so that the transaction stays
/// within the store's limit on entries. The next window deletes the rest.
constexpr std::size_t kMaxDeletedReports = 50;
/// Older windows are skipped.
constexpr std::uint64_t kMaxWindowsBehind = 6;

std::string UsageKey(std::uint64_t window) {
  return std::string(store_rows::kUsagePrefix) + std::to_string(window);
}

}  // namespace

Awaitable<Result<WindowCounts>> FleetCoordinator::CommitUsage(
    std::uint64_t window) {
  const auto known = m_committed_usage.find(window);
  if (known != m_committed_usage.end()) co_return known->second;
  const WindowCounts counts = m_instances.SumWindow(window);
  StoreTransaction transaction;
  transaction.conditions.push_back(store_rows::MakeRow(UsageKey(window)));
  transaction.writes.push_back(
      store_rows::MakeRow(UsageKey(window), EncodeCounts(counts)));
  if (window >= store_rows::kRetainedWindows) {
    const std::uint64_t old = window - store_rows::kRetainedWindows;
    transaction.removals.push_back(store_rows::MakeRow(UsageKey(old)));
    auto obsolete = m_instances.ObsoleteKeys(old, TimeSinceBoot());
    obsolete.resize(std::min(obsolete.size(), kMaxDeletedReports));
    for (auto& key : obsolete) {
      transaction.removals.push_back(store_rows::MakeRow(std::move(key)));
    }
  }
  const auto changed = co_await CommitTransaction(std::move(transaction));
  if (!changed) co_return tl::make_unexpected(changed.error());
  m_committed_usage[window] = counts;
  co_return counts;
}

Awaitable<bool> FleetCoordinator::SendUsageReport(std::uint64_t window) {
  auto counts = co_await CommitUsage(window);
  if (!counts || !HoldsLease()) co_return false;
  UsageReport report;
  report.window = window;
  report.counts = std::move(*counts);
  LeaseHolder holder;
  holder.node = m_settings.node;
  holder.epoch = m_lease.CurrentEpoch();
  const CloudCallOutcome outcome =
      co_await m_adapter.report_usage(std::move(holder), std::move(report));
  if (outcome != CloudCallOutcome::kAccepted) {
    LogEvent(Event::kUsageNotAccepted, {{"window", std::to_string(window)}});
    co_return false;
  }
  LogEvent(Event::kUsageReported, {{"window", std::to_string(window)}});
  m_reported_window = window;
  StoreTransaction transaction;
  transaction.conditions.push_back(store_rows::MakeRow(
      store_rows::kUsageDoneKey, {}, m_reported_window_position));
  transaction.writes.push_back(
      store_rows::MakeRow(store_rows::kUsageDoneKey, std::to_string(window)));
  const auto changed = co_await CommitTransaction(std::move(transaction));
  if (changed) m_reported_window_position = changed->position;
  co_return true;
}

Awaitable<void> FleetCoordinator::ReportUsage() {
  const auto now = SharedNowMs();
  if (!now) co_return;
  const std::int64_t window_ms = m_settings.usage_window.count();
  const auto current = static_cast<std::uint64_t>(*now / window_ms);
  // The first report covers the first window in which a request began, but no
  // later window than the latest one whose counts are written.
  const auto first_unwritten = static_cast<std::uint64_t>(
      (*now - kCountsWrittenDelay.count()) / window_ms);
  const std::uint64_t first =
      m_instances.FirstWindow().value_or(first_unwritten - 1);
  std::uint64_t window = m_reported_window
                             ? *m_reported_window + 1
                             : std::min(first, first_unwritten - 1);
  if (current > kMaxWindowsBehind) {
    window = std::max(window, current - kMaxWindowsBehind);
  }
  for (; window < current; ++window) {
    const std::int64_t end = static_cast<std::int64_t>(window + 1) * window_ms;
    const auto incomplete_wait = static_cast<std::int64_t>(
        static_cast<double>(m_settings.usage_report_timeout.count()) *
        kIncompleteWaitFraction);
    if (*now < end + kCountsWrittenDelay.count()) co_return;
    const bool complete =
        m_instances.IsWindowComplete(end - window_ms, end, TimeSinceBoot());
    if (!complete && *now < end + incomplete_wait) co_return;
    if (!co_await SendUsageReport(window)) co_return;
  }
}

}  // namespace cowslipknot::gateway
