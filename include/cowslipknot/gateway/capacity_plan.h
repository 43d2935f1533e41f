#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/ids.h"

/// How many servers of a service each failure domain should have.
namespace cowslipknot::gateway {

/// The number of servers of one kind that a failure domain should have.
struct CapacityOrder {
  ServiceId service;
  DomainId domain;
  std::uint32_t servers = 0;
  bool reclaimable = false;
  auto operator<=>(const CapacityOrder&) const = default;
};

/// What a domain has and needs.
struct DomainCapacity {
  double busy = 0;         ///< servers kept busy by this domain's requests
  std::uint32_t firm = 0;  ///< ready servers that are not reclaimable
  std::uint32_t reclaimable = 0;  ///< ready ones that are
};

/// Orders reclaimable servers beside one firm server a domain, so that the
/// loss of any one domain's reclaimable servers leaves enough; firm ones take
/// their place while there are none to be had.
///
/// Pure: readings of a monotonic clock are arguments.
class CapacityPlanner {
 public:
  using Time = std::chrono::nanoseconds;

  CapacityPlanner(ServiceId service, Scaling scaling)
      : m_service(std::move(service)), m_scaling(std::move(scaling)) {}

  /// Orders that differ from what was last accepted.
  std::vector<CapacityOrder> Plan(
      const std::map<DomainId, DomainCapacity>& domains, Time now);

  /// An order was accepted.
  void NoteAccepted(const CapacityOrder& order, Time now);
  /// None are to be had in the order's domain for now.
  void NoteUnavailable(const CapacityOrder& order, Time now);

 private:
  struct DomainState {
    double need = 0;  ///< high-water mark of busy servers, decaying
    std::optional<std::uint32_t> firm_ordered;
    std::optional<std::uint32_t> reclaimable_ordered;
    std::uint32_t reclaimable_seen = 0;  ///< ready at the latest plan
    Time reclaimable_ordered_at{0};
    Time unavailable_until{0};
    std::optional<Time> fewer_since;
    std::optional<Time> fewer_reclaimable_since;
  };

  /// Notes when a domain's reclaimable servers were taken away.
  static void NoteReclaim(DomainState& state, const DomainCapacity& capacity,
                          Time now);
  void UpdateNeed(const std::map<DomainId, DomainCapacity>& domains, Time now);
  /// Whole servers within the service's limits.
  std::uint32_t Clamp(double servers) const;
  std::uint32_t WantedReclaimable(DomainState& state,
                                  const DomainCapacity& capacity,
                                  Time now) const;
  std::uint32_t WantedFirm(DomainState& state, const DomainCapacity& capacity,
                           Time now);
  /// Whether ordered reclaimable servers may still be starting.
  bool IsComing(const DomainState& state, const DomainCapacity& capacity,
                Time now) const;
  /// Until load has been observed: the same number of servers, reclaimable
  /// ones in place of firm ones as they become ready.
  void ReplaceFirm(const DomainId& domain, const DomainCapacity& capacity,
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
