#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/ids.h"

/// Capacity planning: the number of servers of a service per failure domain.
namespace cowslipknot::gateway {

/// The desired number of reclaimable or on-demand servers in a failure domain.
struct CapacityOrder {
  ServiceId service;
  DomainId domain;
  std::uint32_t servers = 0;
  bool reclaimable = false;
  auto operator<=>(const CapacityOrder&) const = default;
};

/// The load and the ready servers of one failure domain.
struct DomainCapacity {
  double busy_servers = 0;  ///< mean number of servers that requests keep busy
  std::uint32_t on_demand = 0;    ///< ready servers that cannot be reclaimed
  std::uint32_t reclaimable = 0;  ///< ready servers that can be reclaimed
  bool evacuated = false;         ///< its servers get no requests
};

/// Whether the platform has reclaimed servers of a failure domain: several, and
/// a considerable part of them, are gone at once.
/// @param before  reclaimable servers that were ready
/// @param now     those that are ready now
bool IsReclaim(std::uint32_t before, std::uint32_t now);

/// Notices reclaims as soon as the registrations show them, so that replacement
/// can be ordered before the next regular plan. Reads no clock.
class ReclaimWatch {
 public:
  using Counts = std::map<std::pair<ServiceId, DomainId>, std::uint32_t>;

  /// @param reclaimable  ready reclaimable servers
  /// @return whether there was a reclaim since the last call
  bool Update(Counts reclaimable);

 private:
  Counts m_known;
};

/// Plans the servers of one service in each failure domain.
///
/// A reclaimable (spot) server costs less, but the platform may reclaim it at
/// short notice. The planner orders one on-demand server per domain and enough
/// reclaimable servers that the loss of the reclaimable servers of any one
/// domain leaves sufficient capacity. While reclaimable servers are
/// unavailable, on-demand servers replace them. The other domains take over the
/// load of an evacuated one, for which nothing is ordered meanwhile.
///
/// Reads no clock: readings of a monotonic clock are arguments.
/// Single-threaded.
class CapacityPlanner {
 public:
  using Time = std::chrono::nanoseconds;

  CapacityPlanner(ServiceId service, Scaling scaling)
      : m_service(std::move(service)), m_scaling(std::move(scaling)) {}

  /// Records the load without planning, so that an instance that takes over the
  /// planning knows the load at once.
  void Observe(const std::map<DomainId, DomainCapacity>& domains, Time now);
  /// Forgets the orders, because another instance may have changed them.
  void ForgetOrders();

  /// Computes the orders that differ from the last accepted ones.
  std::vector<CapacityOrder> Plan(
      const std::map<DomainId, DomainCapacity>& domains, Time now);

  /// Records that the platform accepted an order.
  void OnOrderAccepted(const CapacityOrder& order, Time now);
  /// Records that the platform rejected an order because its domain has no such
  /// servers at present. Reclaimable servers are not ordered there for a while.
  void OnOrderRejected(const CapacityOrder& order, Time now);

 private:
  struct DomainState {
    double need = 0;        ///< decaying maximum of the servers required
    double taken_over = 0;  ///< part of the need of evacuated domains
    double TotalNeed() const { return need + taken_over; }
    std::optional<std::uint32_t> on_demand_ordered;
    std::optional<std::uint32_t> reclaimable_ordered;
    std::uint32_t previous_reclaimable = 0;  ///< ready at the last Plan()
    Time reclaimable_ordered_at{0};
    Time unavailable_until{0};
    std::optional<Time> on_demand_surplus_since;
    std::optional<Time> reclaimable_surplus_since;
  };

  /// Detects that the platform has reclaimed servers of a domain, and pauses
  /// orders of reclaimable servers there.
  static void DetectReclaim(DomainState& state, const DomainCapacity& capacity,
                            Time now);
  void UpdateNeed(const std::map<DomainId, DomainCapacity>& domains, Time now);
  /// Divides the need of evacuated domains equally among the others.
  void DistributeEvacuatedNeed(
      const std::map<DomainId, DomainCapacity>& domains);
  /// Rounds to whole servers within the service's limits.
  std::uint32_t RoundServers(double servers) const;
  std::uint32_t TargetReclaimable(DomainState& state,
                                  const DomainCapacity& capacity,
                                  Time now) const;
  std::uint32_t TargetOnDemand(DomainState& state,
                               const DomainCapacity& capacity, Time now);
  /// Whether reclaimable servers that were ordered may still be booting.
  bool AreReclaimableBooting(const DomainState& state,
                             const DomainCapacity& capacity, Time now) const;
  /// Plans a domain before load has been observed: keeps the number of servers
  /// and replaces on-demand servers by reclaimable ones as these become ready.
  void PlanBeforeLoad(const DomainId& domain, const DomainCapacity& capacity,
                      Time now, std::vector<CapacityOrder>& orders);
  void PlanDomain(const DomainId& domain, const DomainCapacity& capacity,
                  Time now, std::vector<CapacityOrder>& orders);

  ServiceId m_service;
  Scaling m_scaling;
  std::map<DomainId, DomainState> m_states;
  std::optional<Time> m_busy_since;
  Time m_updated{0};
};

}  // namespace cowslipknot::gateway
