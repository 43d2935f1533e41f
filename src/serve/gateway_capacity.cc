#include "cowslipknot/events.h"
#include "serve/gateway_duties.h"

/// Orders for backend servers, sent by the lease's holder.
namespace cowslipknot::gateway {

std::map<DomainId, DomainCapacity> Duties::DomainCapacities(
    const ServiceId& service, const std::vector<ServerEntry>& servers) const {
  std::map<DomainId, DomainCapacity> domains;
  for (const auto& server : servers) {
    if (server.service != service) continue;
    DomainCapacity& capacity = domains[server.domain];
    ++(server.reclaimable ? capacity.reclaimable : capacity.firm);
  }
  for (const auto* report : m_instances.Serving(BootTime())) {
    const auto busy = report->busy.find(service);
    if (busy != report->busy.end())
      domains[report->domain].busy += busy->second;
  }
  return domains;
}

Awaitable<void> Duties::OrderCapacity(ConfigurationPtr configuration,
                                      std::vector<ServerEntry> servers) {
  for (const auto& [name, service] : configuration->services) {
    if (!service.scaling) continue;
    // The servers of both versions run side by side until a move is decided.
    const auto move = m_moves.find(name);
    const bool moving = m_orders.contains(name) && move != m_moves.end() &&
                        move->second.move.state.phase != MovePhase::kDone &&
                        move->second.move.state.phase != MovePhase::kTakenBack;
    if (moving) continue;
    auto planner = m_planners.try_emplace(name, name, *service.scaling).first;
    auto domains = DomainCapacities(name, servers);
    auto orders = planner->second.Plan(domains, BootTime());
    // What is not to be had is made up for in the same turn.
    bool replanned = false;
    for (std::size_t i = 0; i < orders.size(); ++i) {
      const CapacityOrder order = orders[i];
      if (!HoldsLease()) co_return;
      DutyHolder holder;
      holder.node = m_settings.node;
      holder.epoch = m_lease.CurrentEpoch();
      const CallOutcome outcome =
          co_await m_dialect.order_capacity(std::move(holder), order);
      const bool accepted = outcome == CallOutcome::kAccepted;
      if (accepted) planner->second.NoteAccepted(order, BootTime());
      if (outcome == CallOutcome::kRejected) {
        planner->second.NoteUnavailable(order, BootTime());
      }
      LogEvent(accepted ? Event::kCapacityOrdered : Event::kCapacityNotAccepted,
               {{"service", name.Text()},
                {"domain", order.domain.Text()},
                {"servers", std::to_string(order.servers)},
                {"reclaimable", order.reclaimable ? "true" : "false"},
                {"busy", std::to_string(domains[order.domain].busy)},
                {"firm", std::to_string(domains[order.domain].firm)}});
      if (outcome == CallOutcome::kUnknown) co_return;
      if (accepted || replanned || i + 1 < orders.size()) continue;
      replanned = true;
      const auto more = planner->second.Plan(domains, BootTime());
      orders.insert(orders.end(), more.begin(), more.end());
    }
  }
}

}  // namespace cowslipknot::gateway
