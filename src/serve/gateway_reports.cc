#include <xxhash.h>

#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/gateway_control_plane.h"

/// Exchanges reports with other instances through the store, and computes this
/// instance's shares of the limits from them.
namespace cowslipknot::gateway {
namespace {

constexpr Milliseconds kReportInterval(1500);
/// The lease holder reports more often, since its reports renew the lease.
constexpr Milliseconds kHolderReportInterval(1000);
/// Delay if the lease is due again, after failed calls or slow calls to the
/// cloud, so that it lasts beyond one call that times out.
constexpr Milliseconds kRenewalRetryDelay(150);
/// Interval during an undecided move, so that all instances know of a harmful
/// version within three reports.
constexpr Milliseconds kMoveReportInterval(1000);
/// Interval at which instances exchange evidence directly meanwhile. It grows
/// with the number of instances beyond kInstancesAtFullRate.
constexpr Milliseconds kEvidenceInterval(200);
/// The same where reports pass through a relay, which adds a step.
constexpr Milliseconds kRelayedMoveReportInterval(500);
/// Interval at which a relay writes and reads reports while it has followers,
/// and at which these send theirs. A process that is killed loses the counts
/// since its last report.
constexpr Milliseconds kRelayReportInterval(1000);
/// With more instances than kInstancesAtFullRate each one reports less often,
/// so that the store's load grows at most half as fast as their number. Usage
/// reporting allows intervals up to kMaxReportInterval.
constexpr std::size_t kInstancesAtFullRate = 8;
constexpr Milliseconds kMaxReportInterval(3000);
/// Time until every instance that reaches the store knows of a change in the
/// set of instances: the longest report interval and a slow call.
constexpr Milliseconds kLenderHandoverDelay(4000);
/// Reports are sent kReportDelayAfterWindow after the end of a usage window,
/// when its requests have been counted, and spread over kReportSpreadPeriod by
/// node.
constexpr Milliseconds kReportDelayAfterWindow(100);
constexpr Milliseconds kReportSpreadPeriod(500);
/// Shorter interval during startup, so that the process soon gets its share of
/// the limits and can take the lease.
constexpr Milliseconds kStartupReportInterval(500);
constexpr Milliseconds kStartupPeriod(600);
/// Until this age a process has not seen its share of the callers, so its
/// demand counts as at least the mean demand of the other instances.
constexpr Milliseconds kDemandWarmupPeriod(4000);
/// Age until which a process takes prompt evidence from the reports.
constexpr Milliseconds kCrashEvidenceImportPeriod(10000);

}  // namespace

std::map<WorkspaceId, std::vector<Endpoint>> ControlPlane::FindQuotaLenders()
    const {
  std::vector<NodeId> candidates;
  std::map<NodeId, Endpoint> addresses;
  for (const auto& instance : m_fleet.serving) {
    if (!instance.peers) continue;
    candidates.push_back(instance.node);
    addresses[instance.node] = *instance.peers;
  }
  std::map<WorkspaceId, std::vector<Endpoint>> lenders;
  if (candidates.size() < kLendersPerLimit) return lenders;
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    for (const auto& node : QuotaLenders(name, candidates)) {
      lenders[name].push_back(addresses.at(node));
    }
  }
  return lenders;
}

void ControlPlane::RefreshFleet() {
  m_fleet = m_coordinator.Summarize();
  OnInstancesRead();
  m_relay.OnFleet(m_fleet, m_coordinator.MoveRows(),
                  m_coordinator.ReportedWindow());
}

void ControlPlane::OnInstancesRead() {
  asio::post(m_worker.Context(), [this, now = TimeSinceBoot()] {
    m_worker.Permits().OnInstancesRead(now);
  });
}

void ControlPlane::UpdateFromFleet() {
  const std::uint64_t digest = DigestInstances(m_fleet.serving);
  const bool changed = digest != m_instances_digest;
  m_instances_digest = digest;
  if (changed) {
    NotifyNewInstances();
    UpdateSilentPeers();
  }
  if (m_fleet.serving.size() != m_serving_instances) {
    m_serving_instances = m_fleet.serving.size();
    LogEvent(Event::kInstancesKnown,
             {{"instances", std::to_string(m_serving_instances)}});
  }
  // Shares follow demand no faster than the reports of instances that read the
  // store, so that an increase takes effect only when the others have read the
  // demand behind it. Updates through a relay come more often.
  const auto now = TimeSinceBoot();
  const bool relayed = m_following || m_relay.HasFollowers(now);
  const bool shares_due =
      !relayed || now - m_shares_updated_at >= ReportInterval();
  if (!m_configuration || (!changed && !shares_due)) return;
  UpdateQuotaLenders();
  if (shares_due) {
    m_shares_updated_at = now;
    UpdateQuotaShares();
  }
  Publish();
}

void ControlPlane::UpdateQuotaLenders() {
  const auto lenders = FindQuotaLenders();
  const bool has_recent_predecessor = m_coordinator.HasRecentPredecessor();
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    const auto lender = lenders.find(name);
    const bool is_lender =
        lender != lenders.end() &&
        std::find(lender->second.begin(), lender->second.end(),
                  m_settings.peers) != lender->second.end();
    LenderStatus& lender_status =
        m_lender_statuses.try_emplace(name, kLenderHandoverDelay).first->second;
    if (is_lender != lender_status.IsLender()) {
      LogEvent(Event::kQuotaLendersChanged,
               {{"workspace", name.Text()},
                {"home", is_lender ? "true" : "false"},
                {"at_once", has_recent_predecessor ? "true" : "false"},
                {"instances", std::to_string(m_fleet.serving.size())}});
    }
    lender_status.Update(is_lender, has_recent_predecessor, TimeSinceBoot());
  }
}

void ControlPlane::UpdateQuotaShares() {
  const std::size_t instances = m_fleet.serving.size();
  const bool has_lenders = !FindQuotaLenders().empty();
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    const auto total = m_fleet.demand.find(name);
    const auto own = m_reported_demand.find(name);
    double own_demand = own == m_reported_demand.end() ? 0 : own->second;
    const double total_demand =
        total == m_fleet.demand.end() ? 0 : total->second;
    const double other_demand = std::max(0.0, total_demand - own_demand);
    if (TimeSinceBoot() - m_started_at < kDemandWarmupPeriod && instances > 1) {
      own_demand = std::max(own_demand,
                            other_demand / static_cast<double>(instances - 1));
    }
    const double kept_share = has_lenders ? 1 - kPooledFraction : 1;
    m_quota_shares[name].Update(
        kept_share * QuotaShare(own_demand, other_demand, instances));
  }
}

namespace {

Awaitable<FleetCoordinator::ReportInput> CollectWorkerInput(Worker& worker) {
  FleetCoordinator::ReportInput input;
  input.demand = worker.Quota().Demand(TimeSinceBoot());
  input.busy = worker.Load().BusyServers(TimeSinceBoot());
  input.usage = std::exchange(worker.Usage(), UsageLedger());
  input.evidence = worker.Evidence().Collect(TimeSinceBoot());
  input.prompt_evidence = worker.Crashes().ExportQuarantined();
  co_return input;
}

}  // namespace

Awaitable<FleetCoordinator::ReportInput> ControlPlane::CollectReportInput() {
  FleetCoordinator::ReportInput input = co_await RunOn(
      m_worker.Context().get_executor(), CollectWorkerInput(m_worker));
  if (m_configuration) input.revision = m_configuration->version;
  m_reported_demand = input.demand;
  co_return input;
}

Awaitable<void> ControlPlane::ExchangeReports() {
  while (true) {
    co_await WhileFollowing();
    co_await WriteReportsOfFollowers();
    FleetCoordinator::ReportInput input = co_await CollectReportInput();
    const auto exchanged = co_await m_coordinator.Exchange(std::move(input));
    const auto clock = m_coordinator.ClockOffset();
    if (clock) m_worker.SetClockOffset(*clock);
    if (exchanged) {
      RefreshFleet();
      UpdateFromFleet();
      ImportCrashEvidence();
      AskPeersForConfiguration();
      FleetCoordinator::FleetServers servers;
      servers.usable = m_registry.UsableServers();
      servers.running = m_registry.RunningServers(TimeSinceBoot());
      co_await m_coordinator.RunLeaseHolderTasks(m_configuration,
                                                 std::move(servers));
    }
    co_await WaitForNextReport();
  }
}

Awaitable<void> ControlPlane::WaitForNextReport() {
  if (!std::exchange(m_plan_due, false)) {
    m_report_timer.expires_after(NextReportDelay());
    co_await m_report_timer.async_wait(kAsTuple);
  }
  m_plan_due = false;
}

void ControlPlane::NoticeReclaims() {
  ReclaimWatch::Counts reclaimable;
  for (const auto& entry : m_registry.UsableServers()) {
    if (entry.reclaimable) ++reclaimable[{entry.service, entry.domain}];
  }
  const bool reclaimed = m_reclaims.Update(std::move(reclaimable));
  if (!reclaimed || !m_coordinator.HoldsLease()) return;
  m_plan_due = true;
  m_report_timer.cancel();
}

void ControlPlane::ImportCrashEvidence() {
  // Later the instances tell each other.
  if (TimeSinceBoot() - m_started_at > kCrashEvidenceImportPeriod) return;
  const std::int64_t now = m_coordinator.SharedNowMs().value_or(0);
  for (const auto* report : m_coordinator.Instances().All()) {
    if (report->prompt_evidence.empty()) continue;
    const bool is_dated = now > 0 && report->as_of_ms > 0;
    const Milliseconds age(
        is_dated ? std::max<std::int64_t>(0, now - report->as_of_ms) : 0);
    asio::post(m_worker.Context(), [this, age, text = report->prompt_evidence] {
      m_worker.Crashes().Import(text, age);
    });
  }
}

Awaitable<void> ControlPlane::ExchangeMoveEvidence() {
  auto collect =
      [](Worker& worker) -> Awaitable<std::map<MoveId, MoveEvidence>> {
    co_return worker.Evidence().Collect(TimeSinceBoot());
  };
  while (true) {
    const auto instances = static_cast<Milliseconds::rep>(
        std::max(m_fleet.serving.size(), kInstancesAtFullRate));
    co_await SleepFor(kEvidenceInterval * instances /
                      static_cast<Milliseconds::rep>(kInstancesAtFullRate));
    if (!m_coordinator.IsMoving() && !m_coordinator.HasLostMoves()) continue;
    auto evidence =
        co_await RunOn(m_worker.Context().get_executor(), collect(m_worker));
    m_coordinator.SetOwnEvidence(std::move(evidence));
    if (m_coordinator.HaltRegressions()) Publish();
    auto frame =
        std::make_shared<const PeerFrame>(m_coordinator.BuildEvidenceFrame());
    asio::post(m_worker.Context(), [this, frame] {
      m_worker.Links().Broadcast(m_worker.GetSnapshot()->peers, *frame);
    });
  }
}

void ControlPlane::OnMoveEvidence(const PeerFrame& frame) {
  if (m_coordinator.ApplyEvidenceFrame(frame)) Publish();
}

Awaitable<void> ControlPlane::WriteReportsOfFollowers() {
  auto reports = m_relay.TakeReports();
  if (reports.empty()) co_return;
  m_relay.KeepReports(
      co_await m_coordinator.WriteRelayedReports(std::move(reports)));
}

Milliseconds ControlPlane::ReportInterval() const {
  const auto instances = static_cast<Milliseconds::rep>(m_fleet.serving.size());
  const auto full_rate = static_cast<Milliseconds::rep>(kInstancesAtFullRate);
  return std::clamp(kReportInterval * instances / full_rate, kReportInterval,
                    kMaxReportInterval);
}

Milliseconds ControlPlane::NextReportDelay() const {
  if (m_coordinator.ShouldRenewLease()) return kRenewalRetryDelay;
  const bool relays = m_relay.HasFollowers(TimeSinceBoot());
  if (m_coordinator.IsMoving())
    return relays || m_following ? kRelayedMoveReportInterval
                                 : kMoveReportInterval;
  if (m_coordinator.HoldsLease()) return kHolderReportInterval;
  if (relays) return kRelayReportInterval;
  if (TimeSinceBoot() - m_started_at < kStartupPeriod)
    return kStartupReportInterval;
  const Milliseconds interval =
      m_following ? kRelayReportInterval : ReportInterval();
  const auto now = m_coordinator.SharedNowMs();
  if (!now) return interval;
  const std::string& node = m_settings.node.Text();
  const Milliseconds offset(static_cast<Milliseconds::rep>(
      XXH3_64bits(node.data(), node.size()) %
      static_cast<std::uint64_t>(kReportSpreadPeriod.count())));
  return DelayBeforeReport(*now, m_settings.usage_window, interval,
                           kReportDelayAfterWindow + offset);
}

Awaitable<void> ControlPlane::Leave() {
  FleetCoordinator::ReportInput input = co_await CollectReportInput();
  input.stopping = true;
  co_await m_coordinator.Leave(std::move(input));
}

}  // namespace cowslipknot::gateway
