#include <xxhash.h>

#include <algorithm>
#include <numeric>

#include "cowslipknot/events.h"
#include "serve/gateway_control.h"

/// Reports between instances through the store, and what follows from them:
/// this instance's parts of the limits.
namespace cowslipknot::gateway {
namespace {

constexpr Milliseconds kReportPause(1500);
/// The holder renews its lease with its reports.
constexpr Milliseconds kHolderPause(1000);
/// While a version is on trial, so that its harm is known to all within three
/// reports.
constexpr Milliseconds kMovePause(1000);
/// Instances beyond which each reports less often, so that the store's load
/// grows with half their number, and the longest pause that usage allows.
constexpr std::size_t kFewInstances = 8;
constexpr Milliseconds kLongestReportPause(3000);
/// A change of the instances is known to all that reach the store after the
/// longest pause and a slow call.
constexpr Milliseconds kHandOver(4000);
/// Reports follow a window's end after this time, spread over the next: the
/// requests of a window are noted by then.
constexpr Milliseconds kReportAfterWindow(100);
constexpr Milliseconds kReportSpread(500);
/// A young process reports this often, so that its part of the limits and its
/// duties are known soon.
constexpr Milliseconds kYoungReportPause(500);
constexpr Milliseconds kYoung(600);
/// A process this young has not seen its share of the callers.
constexpr Milliseconds kDemandUnknown(4000);

double MeanOf(const std::vector<double>& values) {
  if (values.empty()) return 0;
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return sum / static_cast<double>(values.size());
}

}  // namespace

std::map<WorkspaceId, std::vector<Endpoint>> Control::FindHomes(
    const std::vector<const InstanceReport*>& serving) const {
  std::vector<NodeId> lenders;
  std::map<NodeId, Endpoint> addresses;
  for (const auto* report : serving) {
    if (!report->peers) continue;
    lenders.push_back(report->node);
    addresses[report->node] = *report->peers;
  }
  std::map<WorkspaceId, std::vector<Endpoint>> homes;
  if (lenders.size() < kQuotaHomes) return homes;
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    for (const auto& node : QuotaHomes(name, lenders)) {
      homes[name].push_back(addresses.at(node));
    }
  }
  return homes;
}

void Control::NoteInstances() {
  const std::size_t serving = m_duties.Instances().Serving(BootTime()).size();
  if (serving == m_instances) return;
  m_instances = serving;
  LogEvent(Event::kInstancesKnown, {{"instances", std::to_string(serving)}});
}

void Control::UpdateShares() {
  if (!m_configuration) return;
  const auto serving = m_duties.Instances().Serving(BootTime());
  const auto homes = FindHomes(serving);
  const bool succeeds = m_duties.SucceedsLatePredecessor();
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    const auto home = homes.find(name);
    const bool is_home = home != homes.end() &&
                         std::find(home->second.begin(), home->second.end(),
                                   m_settings.peers) != home->second.end();
    HomeTenure& tenure = m_tenures.try_emplace(name, kHandOver).first->second;
    if (is_home != tenure.IsHome()) {
      LogEvent(Event::kQuotaHomeChanged,
               {{"workspace", name.Text()},
                {"home", is_home ? "true" : "false"},
                {"at_once", succeeds ? "true" : "false"},
                {"instances", std::to_string(serving.size())}});
    }
    tenure.Update(is_home, succeeds, BootTime());
    double own = 0;
    std::vector<double> others;
    for (const auto* report : serving) {
      const auto demand = report->demand.find(name);
      const double value = demand == report->demand.end() ? 0 : demand->second;
      const bool is_self = report->node == m_settings.node &&
                           report->started == m_duties.Started();
      if (is_self) {
        own = value;
      } else {
        others.push_back(value);
      }
    }
    if (BootTime() - m_started < kDemandUnknown) {
      own = std::max(own, MeanOf(others));
    }
    const double kept = home == homes.end() ? 1 : 1 - kPooledPart;
    m_shares[name].Update(kept * QuotaShare(own, others));
  }
}

namespace {

Awaitable<Duties::Input> CollectInput(Worker& worker) {
  Duties::Input input;
  input.demand = worker.Quota().Demand(BootTime());
  input.busy = worker.Load().Busy(BootTime());
  input.usage = std::exchange(worker.Usage(), UsageLedger());
  input.evidence = worker.Evidence();
  co_return input;
}

}  // namespace

Awaitable<Duties::Input> Control::CollectReport() {
  Duties::Input input =
      co_await RunOn(m_worker.Context().get_executor(), CollectInput(m_worker));
  if (m_configuration) input.revision = m_configuration->version;
  co_return input;
}

Awaitable<void> Control::ExchangeReports() {
  while (true) {
    Duties::Input input = co_await CollectReport();
    const auto exchanged = co_await m_duties.Exchange(std::move(input));
    const auto clock = m_duties.ClockFromBoot();
    if (clock) m_worker.SetClock(*clock);
    if (exchanged) {
      NoteInstances();
      UpdateShares();
      Publish();
      co_await m_duties.Perform(m_configuration, m_registry.Usable());
    }
    co_await SleepFor(ReportPause());
  }
}

Milliseconds Control::ReportPause() const {
  if (m_duties.IsMoving()) return kMovePause;
  if (m_duties.HoldsLease()) return kHolderPause;
  if (BootTime() - m_started < kYoung) return kYoungReportPause;
  const auto instances = static_cast<Milliseconds::rep>(
      m_duties.Instances().Serving(BootTime()).size());
  const auto few = static_cast<Milliseconds::rep>(kFewInstances);
  const Milliseconds pause = std::clamp(kReportPause * instances / few,
                                        kReportPause, kLongestReportPause);
  const auto now = m_duties.SharedNowMs();
  if (!now) return pause;
  const std::string& node = m_settings.node.Text();
  const Milliseconds offset(static_cast<Milliseconds::rep>(
      XXH3_64bits(node.data(), node.size()) %
      static_cast<std::uint64_t>(kReportSpread.count())));
  return PauseBeforeReport(*now, m_settings.usage_window, pause,
                           kReportAfterWindow + offset);
}

Awaitable<void> Control::Leave() {
  Duties::Input input = co_await CollectReport();
  input.stopping = true;
  co_await m_duties.Leave(std::move(input));
}

}  // namespace cowslipknot::gateway
