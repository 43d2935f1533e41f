#include "cowslipknot/gateway/capacity_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cowslipknot::gateway {
namespace {

/// Load must be observed for this long before servers are ordered for it.
constexpr std::chrono::milliseconds kObservationPeriod(4000);
/// Utilization at which a server counts as fully loaded. Requests arrive in
/// bursts, so a server cannot be busy all of the time.
constexpr double kFullUtilizationFraction = 0.8;
/// Half-life of the decaying maximum of the servers required.
constexpr double kNeedHalfLifeSeconds = 20;
/// A remainder of at most this fraction of a server is rounded down instead of
/// ordering one more server.
constexpr double kIgnoredServerFraction = 0.3;
/// On-demand servers kept in each domain.
constexpr std::uint32_t kMinOnDemandServers = 1;
/// Delay before reclaimable servers are ordered again after the platform has
/// rejected an order or reclaimed servers.
constexpr std::chrono::milliseconds kUnavailableDelay(6000);
/// Time beyond the boot time after which ordered servers are no longer
/// expected.
constexpr std::chrono::milliseconds kBootGrace(3000);
/// Fewer servers must be required for this long before on-demand servers are
/// released.
constexpr std::chrono::milliseconds kOnDemandReleaseDelay(8000);
/// If at least this fraction of a domain's reclaimable servers, and as many as
/// this, disappear between two plans although no fewer were ordered, the
/// platform has reclaimed them and offers none there for a while.
constexpr double kMinReclaimedFraction = 0.25;
constexpr std::uint32_t kMinReclaimed = 2;
/// Fewer servers must be required for this long before reclaimable servers are
/// released. This delay is longer, because reclaimable servers cost only a
/// fraction of an on-demand server.
constexpr std::chrono::milliseconds kReclaimableReleaseDelay(15000);

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool IsReclaim(std::uint32_t before, std::uint32_t now) {
  if (before < now + kMinReclaimed) return false;
  return before - now >= kMinReclaimedFraction * before;
}

bool ReclaimWatch::Update(Counts reclaimable) {
  const Counts before = std::exchange(m_known, std::move(reclaimable));
  return std::any_of(before.begin(), before.end(), [this](const auto& item) {
    const auto now = m_known.find(item.first);
    return IsReclaim(item.second, now == m_known.end() ? 0 : now->second);
  });
}

void CapacityPlanner::UpdateNeed(
    const std::map<DomainId, DomainCapacity>& domains, Time now) {
  const double elapsed =
      m_updated.count() == 0 ? 0 : std::max(0.0, Seconds(now - m_updated));
  const double decay = std::exp2(-elapsed / kNeedHalfLifeSeconds);
  m_updated = now;
  for (const auto& [domain, capacity] : domains) {
    DomainState& state = m_states[domain];
    state.need = std::max(state.need * decay,
                          capacity.busy_servers / kFullUtilizationFraction);
  }
}

void CapacityPlanner::DistributeEvacuatedNeed(
    const std::map<DomainId, DomainCapacity>& domains) {
  double evacuated_need = 0;
  std::size_t others = 0;
  for (const auto& [domain, capacity] : domains) {
    if (capacity.evacuated) {
      evacuated_need += m_states[domain].need;
    } else {
      ++others;
    }
  }
  for (const auto& [domain, capacity] : domains) {
    m_states[domain].taken_over =
        capacity.evacuated ? 0 : evacuated_need / static_cast<double>(others);
  }
}

std::uint32_t CapacityPlanner::RoundServers(double servers) const {
  const double whole =
      std::max(1.0, std::ceil(servers - kIgnoredServerFraction));
  const std::uint32_t min_servers =
      std::max<std::uint32_t>(1, m_scaling.min_servers);
  return std::clamp(static_cast<std::uint32_t>(whole), min_servers,
                    std::max(min_servers, m_scaling.max_servers));
}

std::uint32_t CapacityPlanner::TargetReclaimable(DomainState& state,
                                                 const DomainCapacity& capacity,
                                                 Time now) const {
  if (m_scaling.spot_price_ratio >= 1) return 0;
  // The other domains must absorb the load of a domain that is lost with all
  // its servers.
  const double domains =
      static_cast<double>(std::max<std::size_t>(2, m_states.size()));
  const std::uint32_t required =
      RoundServers(state.TotalNeed() * domains / (domains - 1));
  std::uint32_t wanted = required - std::min(required, kMinOnDemandServers);
  if (wanted >= capacity.reclaimable) {
    state.reclaimable_surplus_since.reset();
  } else {
    if (!state.reclaimable_surplus_since) state.reclaimable_surplus_since = now;
    const bool settled =
        now - *state.reclaimable_surplus_since >= kReclaimableReleaseDelay;
    if (!settled) wanted = capacity.reclaimable;
  }
  if (now >= state.unavailable_until) return wanted;
  return std::min(wanted, capacity.reclaimable);
}

std::uint32_t CapacityPlanner::TargetOnDemand(DomainState& state,
                                              const DomainCapacity& capacity,
                                              Time now) {
  const std::uint32_t needed = RoundServers(state.TotalNeed());
  const std::uint32_t covered = std::min(needed, capacity.reclaimable);
  const std::uint32_t on_demand =
      std::max(kMinOnDemandServers, needed - covered);
  const std::uint32_t ordered =
      state.on_demand_ordered.value_or(capacity.on_demand);
  if (on_demand >= ordered) {
    state.on_demand_surplus_since.reset();
    const bool booting = AreReclaimableBooting(state, capacity, now);
    return booting ? ordered : on_demand;
  }
  // Release on-demand servers only after fewer have been required for some
  // time.
  if (!state.on_demand_surplus_since) state.on_demand_surplus_since = now;
  return now - *state.on_demand_surplus_since < kOnDemandReleaseDelay
             ? ordered
             : on_demand;
}

bool CapacityPlanner::AreReclaimableBooting(const DomainState& state,
                                            const DomainCapacity& capacity,
                                            Time now) const {
  return state.reclaimable_ordered.value_or(0) > capacity.reclaimable &&
         now - state.reclaimable_ordered_at < m_scaling.boot_time + kBootGrace;
}

void CapacityPlanner::DetectReclaim(DomainState& state,
                                    const DomainCapacity& capacity, Time now) {
  const std::uint32_t before =
      std::exchange(state.previous_reclaimable, capacity.reclaimable);
  const bool ordered_away = state.reclaimable_ordered.value_or(0) < before;
  if (ordered_away || !IsReclaim(before, capacity.reclaimable)) return;
  state.unavailable_until = now + kUnavailableDelay;
  state.reclaimable_ordered = capacity.reclaimable;
}

void CapacityPlanner::PlanDomain(const DomainId& domain,
                                 const DomainCapacity& capacity, Time now,
                                 std::vector<CapacityOrder>& orders) {
  DomainState& state = m_states[domain];
  const std::uint32_t on_demand = TargetOnDemand(state, capacity, now);
  // The sum of both kinds must stay within the service's limits.
  const std::uint32_t available =
      m_scaling.max_servers - std::min(on_demand, m_scaling.max_servers);
  const std::uint32_t reclaimable =
      std::min(TargetReclaimable(state, capacity, now), available);
  const bool missing = capacity.reclaimable < reclaimable &&
                       !AreReclaimableBooting(state, capacity, now) &&
                       now >= state.unavailable_until;
  if (state.reclaimable_ordered.value_or(0) != reclaimable || missing) {
    orders.push_back({m_service, domain, reclaimable, true});
  }
  if (state.on_demand_ordered.value_or(capacity.on_demand) != on_demand) {
    orders.push_back({m_service, domain, on_demand, false});
  }
}

void CapacityPlanner::PlanBeforeLoad(const DomainId& domain,
                                     const DomainCapacity& capacity, Time now,
                                     std::vector<CapacityOrder>& orders) {
  if (m_scaling.spot_price_ratio >= 1) return;
  DomainState& state = m_states[domain];
  const std::uint32_t on_demand =
      state.on_demand_ordered.value_or(capacity.on_demand);
  const std::uint32_t available =
      m_scaling.max_servers - std::min(on_demand, m_scaling.max_servers);
  const std::uint32_t wanted =
      std::max(capacity.reclaimable, std::min(on_demand, available));
  const bool pending = state.reclaimable_ordered.value_or(0) >= wanted &&
                       AreReclaimableBooting(state, capacity, now);
  if (wanted > capacity.reclaimable && !pending &&
      now >= state.unavailable_until) {
    orders.push_back({m_service, domain, wanted, true});
  }
  if (on_demand <= kMinOnDemandServers || capacity.reclaimable < on_demand)
    return;
  orders.push_back({m_service, domain, kMinOnDemandServers, false});
}

void CapacityPlanner::Observe(const std::map<DomainId, DomainCapacity>& domains,
                              Time now) {
  UpdateNeed(domains, now);
  DistributeEvacuatedNeed(domains);
  for (const auto& [domain, capacity] : domains) {
    DetectReclaim(m_states[domain], capacity, now);
  }
  const bool busy = std::any_of(domains.begin(), domains.end(), [](auto& item) {
    return item.second.busy_servers > 0;
  });
  if (!busy) m_busy_since.reset();
  if (busy && !m_busy_since) m_busy_since = now;
}

void CapacityPlanner::ForgetOrders() {
  for (auto& [domain, state] : m_states) {
    state.on_demand_ordered.reset();
    state.reclaimable_ordered.reset();
    state.on_demand_surplus_since.reset();
    state.reclaimable_surplus_since.reset();
  }
}

std::vector<CapacityOrder> CapacityPlanner::Plan(
    const std::map<DomainId, DomainCapacity>& domains, Time now) {
  Observe(domains, now);
  const bool observed =
      m_busy_since && now - *m_busy_since >= kObservationPeriod;
  std::vector<CapacityOrder> orders;
  for (const auto& [domain, capacity] : domains) {
    if (capacity.evacuated) continue;
    if (observed) {
      PlanDomain(domain, capacity, now, orders);
    } else {
      PlanBeforeLoad(domain, capacity, now, orders);
    }
  }
  return orders;
}

void CapacityPlanner::OnOrderAccepted(const CapacityOrder& order, Time now) {
  DomainState& state = m_states[order.domain];
  if (!order.reclaimable) {
    state.on_demand_ordered = order.servers;
    return;
  }
  state.reclaimable_ordered = order.servers;
  state.reclaimable_ordered_at = now;
}

void CapacityPlanner::OnOrderRejected(const CapacityOrder& order, Time now) {
  DomainState& state = m_states[order.domain];
  if (order.reclaimable) {
    state.unavailable_until = now + kUnavailableDelay;
    return;
  }
  state.on_demand_ordered.reset();
}

}  // namespace cowslipknot::gateway
