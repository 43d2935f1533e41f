#include <algorithm>
#include <charconv>

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
/// Maximum difference between the shared times of two instances, which a
/// restore of the store may increase.
constexpr Milliseconds kClockTolerance(500);

std::string UsageKey(std::uint64_t window) {
  return std::string(store_rows::kUsagePrefix) + std::to_string(window);
}

/// The window of a row with its counts.
std::optional<std::uint64_t> WindowOf(std::string_view key) {
  if (!key.starts_with(store_rows::kUsagePrefix)) return std::nullopt;
  key.remove_prefix(store_rows::kUsagePrefix.size());
  std::uint64_t window = 0;
  const auto parsed =
      std::from_chars(key.data(), key.data() + key.size(), window);
  if (parsed.ec != std::errc()) return std::nullopt;
  return window;
}

}  // namespace

void FleetCoordinator::ObserveUsage(const StoreRows& rows) {
  m_usage_positions.clear();
  m_usage_done_position = {};
  UsageProgress::Reading reading;
  reading.era = rows.position.era;
  if (HoldsLease()) reading.held = m_lease.FirstEpochOfHold();
  reading.last_fixed = LastCommittableWindow();
  for (const auto& row : rows.rows) {
    if (row.key == store_rows::kUsageDoneKey) {
      m_usage_done_position = row.position;
      reading.done = DecodeUsageDone(row.value);
    }
    const auto window = WindowOf(row.key);
    if (!window) continue;
    m_usage_positions[*window] = row.position;
    auto counts = DecodeUsageCounts(row.value);
    if (counts) reading.counts[*window] = std::move(*counts);
  }
  m_usage_progress.Observe(reading);
  const std::uint64_t current = reading.last_fixed.value_or(0);
  const std::uint64_t behind = MaxWindowsBehind(
      m_settings.usage_window, m_settings.usage_report_timeout);
  if (current > behind)
    m_instances.ForgetLost(current - behind, TimeSinceBoot());
}

std::optional<std::uint64_t> FleetCoordinator::LastCommittableWindow() const {
  const auto now = SharedNowMs();
  if (!now) return std::nullopt;
  const std::int64_t latest_end =
      *now + kClockTolerance.count() - kCountsWrittenDelay.count();
  const std::int64_t unfinished = latest_end / m_settings.usage_window.count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(1, unfinished)) - 1;
}

Awaitable<Result<WindowCounts>> FleetCoordinator::CommitUsage(
    std::uint64_t window) {
  const auto known = m_usage_progress.FixedCounts(window);
  if (known && m_usage_progress.IsFixedInEra(window)) co_return *known;
  UsageCountsRow fixed;
  fixed.counts = known ? *known : m_instances.SumWindow(window);
  fixed.era = m_era;
  StoreTransaction transaction;
  const auto position = m_usage_positions.find(window);
  transaction.conditions.push_back(store_rows::MakeRow(
      UsageKey(window), {},
      position == m_usage_positions.end() ? StorePosition{}
                                          : position->second));
  transaction.writes.push_back(
      store_rows::MakeRow(UsageKey(window), EncodeUsageCounts(fixed)));
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
  if (changed->position.era != fixed.era) {
    co_return Fail(ResultCode::kHistoryLost, "committed after a restore");
  }
  m_usage_positions[window] = changed->position;
  m_usage_progress.RecordFixed(window, fixed.counts);
  co_return fixed.counts;
}

Awaitable<void> FleetCoordinator::WriteUsageDone() {
  StoreTransaction transaction;
  transaction.conditions.push_back(store_rows::MakeRow(
      store_rows::kUsageDoneKey, {}, m_usage_done_position));
  transaction.writes.push_back(store_rows::MakeRow(
      store_rows::kUsageDoneKey, EncodeUsageDone(m_usage_progress.DoneRow())));
  const auto changed = co_await CommitTransaction(std::move(transaction));
  if (changed) m_usage_done_position = changed->position;
}

Awaitable<bool> FleetCoordinator::SendUsageReport(std::uint64_t window) {
  auto counts = co_await CommitUsage(window);
  if (!counts || !HoldsLease()) co_return false;
  UsageReport report;
  report.window = window;
  report.counts = std::move(*counts);
  const CloudCallOutcome outcome =
      co_await m_adapter.report_usage(ActingHolder(), std::move(report));
  if (outcome != CloudCallOutcome::kAccepted) {
    LogEvent(Event::kUsageNotAccepted, {{"window", std::to_string(window)}});
    co_return false;
  }
  LogEvent(Event::kUsageReported, {{"window", std::to_string(window)}});
  m_usage_progress.RecordDone(window);
  co_await WriteUsageDone();
  co_return true;
}

void FleetCoordinator::SkipWindows(std::uint64_t first, std::uint64_t last,
                                   const std::string& reason) {
  LogEvent(Event::kUsageSkipped, {{"window", std::to_string(first)},
                                  {"last_window", std::to_string(last)},
                                  {"detail", reason}});
  m_usage_progress.RecordDone(last);
}

Awaitable<void> FleetCoordinator::ReportUsage() {
  const auto now = SharedNowMs();
  if (!now || !m_usage_progress.IsReady()) co_return;
  const std::int64_t window_ms = m_settings.usage_window.count();
  const auto current = static_cast<std::uint64_t>(*now / window_ms);
  // The first report covers the first window in which a request began, but no
  // later window than the latest one whose counts are written.
  const auto first_unwritten = static_cast<std::uint64_t>(
      (*now - kCountsWrittenDelay.count()) / window_ms);
  const std::uint64_t first =
      m_instances.FirstWindow().value_or(first_unwritten - 1);
  const auto done = m_usage_progress.LastDone();
  std::uint64_t window =
      done ? *done + 1 : std::min(first, first_unwritten - 1);
  const std::uint64_t behind = MaxWindowsBehind(
      m_settings.usage_window, m_settings.usage_report_timeout);
  const std::uint64_t oldest = current - std::min(current, behind);
  if (window < oldest) {
    SkipWindows(window, oldest - 1, "too old");
    window = oldest;
  }
  for (; window < current; ++window) {
    if (m_usage_progress.NeedsDoneRow()) co_await WriteUsageDone();
    if (m_usage_progress.MustSkip(window)) {
      SkipWindows(window, window, "perhaps reported before a restore");
      continue;
    }
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
