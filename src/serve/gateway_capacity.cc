#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/gateway_fleet_coordinator.h"

/// Capacity orders for backend servers, sent by the lease holder.
namespace cowslipknot::gateway {

std::map<DomainId, DomainCapacity> FleetCoordinator::DomainCapacities(
    const ServiceId& service, const std::vector<ServerEntry>& servers) const {
  std::map<DomainId, DomainCapacity> domains;
  for (const auto& server : servers) {
    if (server.service != service) continue;
    DomainCapacity& capacity = domains[server.domain];
    ++(server.reclaimable ? capacity.reclaimable : capacity.on_demand);
  }
  for (const auto* report : m_instances.Serving(TimeSinceBoot())) {
    const auto busy = report->busy.find(service);
    if (busy != report->busy.end())
      domains[report->domain].busy_servers += busy->second;
  }
  for (auto& [domain, capacity] : domains) {
    capacity.evacuated = std::find(m_evacuated.begin(), m_evacuated.end(),
                                   domain) != m_evacuated.end();
  }
  return domains;
}

void FleetCoordinator::ObserveCapacity(
    const Configuration& configuration,
    const std::vector<ServerEntry>& servers) {
  for (const auto& [name, service] : configuration.services) {
    if (!service.scaling) continue;
    CapacityPlanner& planner =
        m_planners.try_emplace(name, name, *service.scaling).first->second;
    planner.ForgetOrders();
    planner.Observe(DomainCapacities(name, servers), TimeSinceBoot());
  }
}

Awaitable<void> FleetCoordinator::OrderCapacity(
    ConfigurationPtr configuration, std::vector<ServerEntry> servers) {
  for (const auto& [name, service] : configuration->services) {
    if (!service.scaling) continue;
    // No orders during an undecided move: servers of both versions run side by
    // side until it is decided.
    const auto order = m_move_orders.find(name);
    const VersionMove* move =
        order == m_move_orders.end() ? nullptr : FindMove(order->second);
    if (move != nullptr && IsUndecided(*move)) continue;
    auto planner = m_planners.try_emplace(name, name, *service.scaling).first;
    auto domains = DomainCapacities(name, servers);
    auto orders = planner->second.Plan(domains, TimeSinceBoot());
    // If the last order is rejected, one replan in the same pass makes up for
    // the missing capacity.
    bool replanned = false;
    for (std::size_t i = 0; i < orders.size(); ++i) {
      const CapacityOrder order = orders[i];
      if (!HoldsLease()) co_return;
      const CloudCallOutcome outcome =
          co_await m_adapter.order_capacity(ActingHolder(), order);
      const bool accepted = outcome == CloudCallOutcome::kAccepted;
      if (accepted) planner->second.OnOrderAccepted(order, TimeSinceBoot());
      if (outcome == CloudCallOutcome::kRejected) {
        planner->second.OnOrderRejected(order, TimeSinceBoot());
      }
      LogEvent(accepted ? Event::kCapacityOrdered : Event::kCapacityNotAccepted,
               {{"service", name.Text()},
                {"domain", order.domain.Text()},
                {"servers", std::to_string(order.servers)},
                {"reclaimable", order.reclaimable ? "true" : "false"},
                {"busy", std::to_string(domains[order.domain].busy_servers)},
                {"firm", std::to_string(domains[order.domain].on_demand)}});
      if (outcome == CloudCallOutcome::kUnknown) co_return;
      if (accepted || replanned || i + 1 < orders.size()) continue;
      replanned = true;
      const auto replacements = planner->second.Plan(domains, TimeSinceBoot());
      orders.insert(orders.end(), replacements.begin(), replacements.end());
    }
  }
}

}  // namespace cowslipknot::gateway
