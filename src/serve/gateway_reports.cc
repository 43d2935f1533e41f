#include <xxhash.h>

#include <algorithm>
#include <numeric>

#include "cowslipknot/events.h"
#include "serve/gateway_control_plane.h"

/// Exchanges reports with other instances through the store, and computes this
/// instance's shares of the limits from them.
namespace cowslipknot::gateway {
namespace {

constexpr Milliseconds kReportInterval(1500);
/// The lease holder reports more often, since its reports renew the lease.
constexpr Milliseconds kHolderReportInterval(1000);
/// Interval during an undecided move, so that all instances know of a harmful
/// version within three reports.
constexpr Milliseconds kMoveReportInterval(1000);
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

double Mean(const std::vector<double>& values) {
  if (values.empty()) return 0;
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return sum / static_cast<double>(values.size());
}

}  // namespace

std::map<WorkspaceId, std::vector<Endpoint>> ControlPlane::FindQuotaLenders(
    const std::vector<const InstanceReport*>& serving) const {
  std::vector<NodeId> candidates;
  std::map<NodeId, Endpoint> addresses;
  for (const auto* report : serving) {
    if (!report->peers) continue;
    candidates.push_back(report->node);
    addresses[report->node] = *report->peers;
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

void ControlPlane::UpdateInstanceCount() {
  const std::size_t serving =
      m_coordinator.Instances().Serving(TimeSinceBoot()).size();
  if (serving == m_serving_instances) return;
  m_serving_instances = serving;
  LogEvent(Event::kInstancesKnown, {{"instances", std::to_string(serving)}});
}

void ControlPlane::UpdateQuotaShares() {
  if (!m_configuration) return;
  const auto serving = m_coordinator.Instances().Serving(TimeSinceBoot());
  const auto lenders = FindQuotaLenders(serving);
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
                {"instances", std::to_string(serving.size())}});
    }
    lender_status.Update(is_lender, has_recent_predecessor, TimeSinceBoot());
    double own_demand = 0;
    std::vector<double> other_demands;
    for (const auto* report : serving) {
      const auto demand = report->demand.find(name);
      const double rate = demand == report->demand.end() ? 0 : demand->second;
      const bool is_self = report->node == m_settings.node &&
                           report->started_ms == m_coordinator.StartedMs();
      if (is_self) {
        own_demand = rate;
      } else {
        other_demands.push_back(rate);
      }
    }
    if (TimeSinceBoot() - m_started_at < kDemandWarmupPeriod) {
      own_demand = std::max(own_demand, Mean(other_demands));
    }
    const double kept_share = lender == lenders.end() ? 1 : 1 - kPooledFraction;
    m_quota_shares[name].Update(kept_share *
                                QuotaShare(own_demand, other_demands));
  }
}

namespace {

Awaitable<FleetCoordinator::ReportInput> CollectWorkerInput(Worker& worker) {
  FleetCoordinator::ReportInput input;
  input.demand = worker.Quota().Demand(TimeSinceBoot());
  input.busy = worker.Load().BusyServers(TimeSinceBoot());
  input.usage = std::exchange(worker.Usage(), UsageLedger());
  input.evidence = worker.Evidence();
  co_return input;
}

}  // namespace

Awaitable<FleetCoordinator::ReportInput> ControlPlane::CollectReportInput() {
  FleetCoordinator::ReportInput input = co_await RunOn(
      m_worker.Context().get_executor(), CollectWorkerInput(m_worker));
  if (m_configuration) input.revision = m_configuration->version;
  co_return input;
}

Awaitable<void> ControlPlane::ExchangeReports() {
  while (true) {
    FleetCoordinator::ReportInput input = co_await CollectReportInput();
    const auto exchanged = co_await m_coordinator.Exchange(std::move(input));
    const auto clock = m_coordinator.ClockOffset();
    if (clock) m_worker.SetClockOffset(*clock);
    if (exchanged) {
      UpdateInstanceCount();
      UpdateQuotaShares();
      Publish();
      co_await m_coordinator.RunLeaseHolderTasks(m_configuration,
                                                 m_registry.UsableServers());
    }
    co_await SleepFor(NextReportDelay());
  }
}

Milliseconds ControlPlane::NextReportDelay() const {
  if (m_coordinator.IsMoving()) return kMoveReportInterval;
  if (m_coordinator.HoldsLease()) return kHolderReportInterval;
  if (TimeSinceBoot() - m_started_at < kStartupPeriod)
    return kStartupReportInterval;
  const auto instances = static_cast<Milliseconds::rep>(
      m_coordinator.Instances().Serving(TimeSinceBoot()).size());
  const auto full_rate = static_cast<Milliseconds::rep>(kInstancesAtFullRate);
  const Milliseconds interval =
      std::clamp(kReportInterval * instances / full_rate, kReportInterval,
                 kMaxReportInterval);
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
