#include "serve/gateway_fleet_coordinator.h"

#include <algorithm>

#include "coordination/move_controller.h"
#include "cowslipknot/events.h"
#include "serve/store_rows.h"

namespace cowslipknot::gateway {
namespace {

/// The lease duration is 6/5 of the lease setting (the allowed silence of a
/// holder), so that one slow call to the store does not let it expire.
constexpr int kLeaseNumerator = 6;
constexpr int kLeaseDenominator = 5;
/// Minimum lease duration: the holder renews with each of its reports, which
/// are at least 1 s apart, and acts long enough for another try after a failed
/// one.
constexpr Milliseconds kMinLeaseDuration(3600);
/// Minimum age of a process that takes a released lease. A younger process may
/// be the successor of a recent holder, and holders must not alternate.
constexpr Milliseconds kMinAgeForReleasedLease(5000);
/// An instance that cannot reach the store stops serving requests with API keys
/// after Settings::revoke_bound. Its share of the limits is redistributed this
/// much later.
constexpr Milliseconds kLifetimeMargin(1000);
/// Whether conditions require that a row exists.
bool HasKnownRow(const std::vector<StoreRow>& conditions) {
  return std::any_of(
      conditions.begin(), conditions.end(),
      [](const StoreRow& row) { return row.position.IsKnown(); });
}

/// Whether all rows that conditions require were read in an era.
bool HoldsIn(StoreEra era, const std::vector<StoreRow>& conditions) {
  return std::all_of(
      conditions.begin(), conditions.end(), [era](const StoreRow& row) {
        return !row.position.IsKnown() || row.position.era == era;
      });
}

}  // namespace

FleetCoordinator::FleetCoordinator(const Settings& settings,
                                   const PlatformAdapter& adapter)
    : m_settings(settings),
      m_adapter(adapter),
      m_started_ms(static_cast<std::uint64_t>(NowWall().Count())),
      m_report_key(std::string(store_rows::kReportPrefix) +
                   settings.node.Text() + "/" + std::to_string(m_started_ms)),
      m_instances(settings.revoke_bound + kLifetimeMargin),
      m_lease(
          settings.node,
          std::max(settings.lease_timeout * kLeaseNumerator / kLeaseDenominator,
                   kMinLeaseDuration),
          m_started_ms) {}

std::optional<std::int64_t> FleetCoordinator::SharedNowMs() const {
  const auto offset = m_clock.OffsetFromBoot();
  if (!offset) return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(TimeSinceBoot() + *offset)
      .count();
}

bool FleetCoordinator::HasRecentPredecessor() const {
  const auto now = SharedNowMs();
  const InstanceReport* predecessor =
      m_instances.Predecessor(m_settings.node, m_started_ms);
  if (!now || predecessor == nullptr || predecessor->stopping) return false;
  return *now - predecessor->as_of_ms < m_settings.revoke_bound.count();
}

Awaitable<Result<StoreRows>> FleetCoordinator::CommitTransaction(
    StoreTransaction transaction) {
  const StoreEra era = m_era;
  if (!HoldsIn(era, transaction.conditions)) {
    co_return Fail(ResultCode::kRevisionConflict, "read before a restore");
  }
  const bool is_bound_to_era = HasKnownRow(transaction.conditions);
  const auto sent_at = TimeSinceBoot();
  auto changed = co_await m_adapter.commit_transaction(std::move(transaction));
  if (!changed) co_return changed;
  m_clock.AddSample(changed->position.era, changed->store_time, sent_at,
                    TimeSinceBoot());
  m_era = std::max(m_era, changed->position.era);
  // The condition held by chance: the versions were assigned anew since.
  if (is_bound_to_era && changed->position.era != era) {
    LogEvent(Event::kStoreRestored,
             {{"table", store_rows::kTable},
              {"known", std::to_string(era.Count())},
              {"restored", FormatPosition(changed->position)}});
    co_return Fail(ResultCode::kHistoryLost, "committed after a restore");
  }
  co_return changed;
}

InstanceReport FleetCoordinator::BuildReport(const ReportInput& input) {
  InstanceReport report;
  report.node = m_settings.node;
  report.domain = m_settings.domain;
  report.peers = m_settings.peers;
  report.started_ms = m_started_ms;
  report.sequence = ++m_sequence;
  report.as_of_ms = SharedNowMs().value_or(0);
  report.revision = input.revision;
  report.stopping = input.stopping;
  report.demand = input.demand;
  report.busy = input.busy;
  m_usage.Merge(input.usage);
  if (ReportedWindow() > store_rows::kRetainedWindows)
    m_usage.DropBefore(ReportedWindow() - store_rows::kRetainedWindows);
  report.usage = m_usage;
  SetOwnEvidence(input.evidence);
  if (!m_evidence.empty()) report.evidence = EncodeEvidence(m_evidence);
  if (HoldsLease()) report.prompt_evidence = input.prompt_evidence;
  report.evacuated = m_evacuated;
  return report;
}

bool FleetCoordinator::MayAcquireLease(LeaseView::Time now) const {
  if (m_lease.MayAcquire(now)) return true;
  if (m_lease.IsReleased())
    return TimeSinceBoot() - m_started_at >= kMinAgeForReleasedLease;
  // The same peer address means the same machine, so the earlier process has
  // ended.
  const InstanceReport* predecessor =
      m_instances.Predecessor(m_settings.node, m_started_ms);
  return m_lease.IsHeldByPredecessor() && predecessor != nullptr &&
         predecessor->peers && predecessor->peers == m_settings.peers;
}

Awaitable<Result<void>> FleetCoordinator::WriteReport(
    InstanceReport report, ReportCondition condition) {
  const auto now = LeaseNow();
  const bool renews = m_lease.ShouldRenew(now);
  const bool takes = !report.stopping && m_table_read && MayAcquireLease(now);
  const bool releases = report.stopping && m_lease.MayAct(now);
  StoreTransaction transaction;
  if (condition == ReportCondition::kPosition) {
    transaction.conditions.push_back(
        store_rows::MakeRow(m_report_key, {}, m_report_position));
  }
  transaction.writes.push_back(
      store_rows::MakeRow(m_report_key, EncodeReport(report)));
  if (renews || takes || releases) {
    StoreTransaction with_lease = transaction;
    const LeaseRow lease = releases ? m_lease.ReleasedRow() : m_lease.NextRow();
    with_lease.conditions.push_back(
        store_rows::MakeRow(store_rows::kLeaseKey, {}, m_lease.Position()));
    with_lease.writes.push_back(
        store_rows::MakeRow(store_rows::kLeaseKey, EncodeLease(lease)));
    m_lease.RecordSent(lease, now);
    if (releases) {
      m_lease.StopActing();
      m_adapter.abort_holder_calls();
    }
    const auto changed = co_await CommitTransaction(std::move(with_lease));
    if (changed) {
      m_report_position = changed->position;
      m_lease.RecordOwnWrite(lease, changed->position, now);
      co_return Result<void>();
    }
    // On a conflict another instance took the lease and nothing was written, so
    // the report is written without the lease. After any other failure the
    // write may have taken effect.
    if (changed.error().code != ResultCode::kRevisionConflict) {
      co_return tl::make_unexpected(changed.error());
    }
    m_lease.RecordRefused(now);
  }
  const auto changed = co_await CommitTransaction(std::move(transaction));
  if (!changed) co_return tl::make_unexpected(changed.error());
  m_report_position = changed->position;
  co_return Result<void>();
}

LeaseHolder FleetCoordinator::ActingHolder() const {
  LeaseHolder holder;
  holder.node = m_settings.node;
  holder.epoch = m_lease.CurrentEpoch();
  holder.time_left = [this, epoch = holder.epoch] {
    // Reacquired meanwhile, the lease has another epoch.
    if (m_lease.CurrentEpoch() != epoch) return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(
        m_lease.TimeToAct(LeaseNow()));
  };
  return holder;
}

Awaitable<void> FleetCoordinator::RenewLease() {
  const auto now = LeaseNow();
  const LeaseRow lease = m_lease.NextRow();
  StoreTransaction transaction;
  transaction.conditions.push_back(
      store_rows::MakeRow(store_rows::kLeaseKey, {}, m_lease.Position()));
  transaction.writes.push_back(
      store_rows::MakeRow(store_rows::kLeaseKey, EncodeLease(lease)));
  m_lease.RecordSent(lease, now);
  const auto changed = co_await CommitTransaction(std::move(transaction));
  if (changed) {
    m_lease.RecordOwnWrite(lease, changed->position, now);
  } else if (changed.error().code == ResultCode::kRevisionConflict) {
    m_lease.RecordRefused(now);
  }
}

Awaitable<Result<void>> FleetCoordinator::ReadTable() {
  const auto sent_at = TimeSinceBoot();
  const auto rows = co_await m_adapter.read_table(store_rows::kTable);
  if (!rows) co_return tl::make_unexpected(rows.error());
  const auto now = TimeSinceBoot();
  m_clock.AddSample(rows->position.era, rows->store_time, sent_at, now);
  m_era = std::max(m_era, rows->position.era);
  std::map<std::string, InstanceReport> reports;
  std::optional<LeaseRow> lease;
  StorePosition lease_position{rows->position.era, StoreVersion(0)};
  m_report_position = {};
  m_report_position_known = true;
  m_clock_position = {};
  m_row_positions.clear();
  std::vector<StoreRow> moves;
  for (const auto& row : rows->rows) {
    if (row.key == store_rows::kLeaseKey) {
      lease = DecodeLease(row.value);
      lease_position = row.position;
    } else if (row.key == store_rows::kClockKey) {
      m_clock_position = row.position;
      const auto stored = DecodeClock(row.value);
      if (stored && m_clock.SetOffset(*stored)) {
        LogEvent(Event::kClusterClockSet,
                 {{"offset_ms", std::to_string(stored->offset.count())},
                  {"era", std::to_string(stored->era.Count())}});
      }
    } else if (row.key.starts_with(store_rows::kMovePrefix)) {
      moves.push_back(row);
    } else if (row.key.starts_with(store_rows::kReportPrefix)) {
      if (row.key == m_report_key) m_report_position = row.position;
      m_row_positions[row.key] = row.position;
      auto report = DecodeReport(row.value);
      if (report) reports[row.key] = std::move(*report);
    }
  }
  m_instances.Observe(std::move(reports), now, rows->position.era);
  ApplyMoveRows(moves);
  m_lease.Observe(lease, lease_position, LeaseNow());
  ObserveUsage(*rows);
  m_table_read = true;
  const bool holds_lease = HoldsLease();
  if (holds_lease != m_logged_lease_held) {
    LogEvent(holds_lease ? Event::kLeaseTaken : Event::kLeaseLost,
             {{"epoch", std::to_string(m_lease.CurrentEpoch().Count())}});
    m_logged_lease_held = holds_lease;
  }
  co_return Result<void>();
}

Awaitable<void> FleetCoordinator::StoreClockOffset() {
  const auto proposed = m_clock.ProposeOffset(NowWall(), TimeSinceBoot());
  if (!proposed) co_return;
  StoreTransaction transaction;
  transaction.conditions.push_back(
      store_rows::MakeRow(store_rows::kClockKey, {}, m_clock_position));
  transaction.writes.push_back(
      store_rows::MakeRow(store_rows::kClockKey, EncodeClock(*proposed)));
  // If another instance was first or the response is lost, ReadTable() picks up
  // the stored row.
  co_await CommitTransaction(std::move(transaction));
}

Awaitable<Result<void>> FleetCoordinator::Exchange(ReportInput input) {
  // Built first: it takes over the counts of the input.
  InstanceReport report = BuildReport(input);
  if (!m_report_position_known) {
    const auto read = co_await ReadTable();
    if (!read) co_return read;
  }
  const auto written =
      co_await WriteReport(std::move(report), ReportCondition::kPosition);
  // The table shows the result of a write whose condition failed or whose
  // response was lost.
  const auto read = co_await ReadTable();
  if (!read) co_return read;
  // The report did not renew the lease: its write failed, or a restore lost it.
  if (ShouldRenewLease()) co_await RenewLease();
  if (!m_clock.HasOffset()) co_await StoreClockOffset();
  co_return Result<void>();
}

Awaitable<void> FleetCoordinator::Leave(ReportInput input) {
  // A relay may have written the last report, so its position is not known. The
  // final report replaces it in any case.
  InstanceReport report = BuildReport(input);
  const auto condition = m_report_position_known ? ReportCondition::kPosition
                                                 : ReportCondition::kNone;
  auto written = co_await WriteReport(report, condition);
  // The row has changed since, by a restore or by a write under way.
  const bool is_refused =
      !written && (written.error().code == ResultCode::kRevisionConflict ||
                   written.error().code == ResultCode::kHistoryLost);
  if (is_refused) {
    written = co_await WriteReport(std::move(report), ReportCondition::kNone);
  }
  if (!written) {
    LogEvent(Event::kPlatformLost,
             {{"detail", "final report: " + written.error().detail}});
  }
}

void FleetCoordinator::LogEvacuationsInForce() {
  const auto serving = m_instances.Serving(TimeSinceBoot());
  std::vector<DomainId> everywhere;
  for (const auto& domain : m_evacuated) {
    const bool is_in_force =
        std::all_of(serving.begin(), serving.end(), [&](const auto* report) {
          return std::find(report->evacuated.begin(), report->evacuated.end(),
                           domain) != report->evacuated.end();
        });
    if (!is_in_force) continue;
    everywhere.push_back(domain);
    const bool is_logged =
        std::find(m_evacuated_everywhere.begin(), m_evacuated_everywhere.end(),
                  domain) != m_evacuated_everywhere.end();
    if (is_logged) continue;
    LogEvent(Event::kEvacuationInForce,
             {{"domain", domain.Text()},
              {"instances", std::to_string(serving.size())}});
  }
  m_evacuated_everywhere = std::move(everywhere);
}

Awaitable<void> FleetCoordinator::RunLeaseHolderTasks(
    ConfigurationPtr configuration, FleetServers servers) {
  if (!HoldsLease()) {
    if (m_settings.orders_capacity && configuration)
      ObserveCapacity(*configuration, servers.usable);
    co_return;
  }
  LogEvacuationsInForce();
  co_await AdvanceMoves(std::move(servers.running));
  if (m_settings.reports_usage) co_await ReportUsage();
  if (!m_settings.orders_capacity || !configuration) co_return;
  co_await OrderCapacity(std::move(configuration), std::move(servers.usable));
}

}  // namespace cowslipknot::gateway
