#include "cowslipknot/gateway/capacity_plan.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot::gateway {
namespace {

/// Orders begin when load has been seen for this long.
constexpr std::chrono::milliseconds kObserve(4000);
/// A server is full at this part of its time, since requests come in clumps.
constexpr double kFullPart = 0.8;
/// The high-water mark of the need loses half in this time.
constexpr double kHalfLifeSeconds = 20;
/// Servers of one domain beyond which one more is not ordered for a remainder.
constexpr double kRemainder = 0.3;
/// Firm servers in each domain.
constexpr std::uint32_t kFirmServers = 1;
/// After a rejected order, until reclaimable servers are asked for again.
constexpr std::chrono::milliseconds kUnavailable(6000);
/// Beyond their boot, until ordered servers count as not coming.
constexpr std::chrono::milliseconds kBootMargin(3000);
/// Fewer servers needed for this long before firm ones are given back.
constexpr std::chrono::milliseconds kSettled(8000);
/// Losing more than this part of a domain's reclaimable servers between two
/// plans is a reclaim: none are to be had there for a while.
constexpr double kReclaimedPart = 0.25;
/// The same for reclaimable ones, which cost a fraction of a firm one.
constexpr std::chrono::milliseconds kReclaimableSettled(15000);

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void CapacityPlanner::UpdateNeed(
    const std::map<DomainId, DomainCapacity>& domains, Time now) {
  const double passed =
      m_updated.count() == 0 ? 0 : std::max(0.0, Seconds(now - m_updated));
  const double decay = std::exp2(-passed / kHalfLifeSeconds);
  m_updated = now;
  for (const auto& [domain, capacity] : domains) {
    DomainState& state = m_states[domain];
    state.need = std::max(state.need * decay, capacity.busy / kFullPart);
  }
}

std::uint32_t CapacityPlanner::Clamp(double servers) const {
  const double whole = std::max(1.0, std::ceil(servers - kRemainder));
  const std::uint32_t least = std::max<std::uint32_t>(1, m_scaling.least);
  return std::clamp(static_cast<std::uint32_t>(whole), least,
                    std::max(least, m_scaling.most));
}

std::uint32_t CapacityPlanner::WantedReclaimable(DomainState& state,
                                                 const DomainCapacity& capacity,
                                                 Time now) const {
  if (m_scaling.spot_price >= 1) return 0;
  // A domain lost with all its servers is made up for by the others.
  const double domains =
      static_cast<double>(std::max<std::size_t>(2, m_states.size()));
  const std::uint32_t spread = Clamp(state.need * domains / (domains - 1));
  std::uint32_t wanted = spread - std::min(spread, kFirmServers);
  if (wanted >= capacity.reclaimable) {
    state.fewer_reclaimable_since.reset();
  } else {
    if (!state.fewer_reclaimable_since) state.fewer_reclaimable_since = now;
    const bool settled =
        now - *state.fewer_reclaimable_since >= kReclaimableSettled;
    if (!settled) wanted = capacity.reclaimable;
  }
  if (now >= state.unavailable_until) return wanted;
  return std::min(wanted, capacity.reclaimable);
}

std::uint32_t CapacityPlanner::WantedFirm(DomainState& state,
                                          const DomainCapacity& capacity,
                                          Time now) {
  const std::uint32_t needed = Clamp(state.need);
  const std::uint32_t covered = std::min(needed, capacity.reclaimable);
  const std::uint32_t firm = std::max(kFirmServers, needed - covered);
  const std::uint32_t ordered = state.firm_ordered.value_or(capacity.firm);
  if (firm >= ordered) {
    state.fewer_since.reset();
    const bool coming = IsComing(state, capacity, now);
    return coming ? ordered : firm;
  }
  // Firm servers are given back only once the need has settled.
  if (!state.fewer_since) state.fewer_since = now;
  return now - *state.fewer_since < kSettled ? ordered : firm;
}

bool CapacityPlanner::IsComing(const DomainState& state,
                               const DomainCapacity& capacity, Time now) const {
  return state.reclaimable_ordered.value_or(0) > capacity.reclaimable &&
         now - state.reclaimable_ordered_at < m_scaling.boot + kBootMargin;
}

void CapacityPlanner::NoteReclaim(DomainState& state,
                                  const DomainCapacity& capacity, Time now) {
  const auto before = static_cast<double>(state.reclaimable_seen);
  const double lost = before - capacity.reclaimable;
  state.reclaimable_seen = capacity.reclaimable;
  const bool ordered_away = state.reclaimable_ordered.value_or(0) < before;
  if (ordered_away || lost < 2 || lost < kReclaimedPart * before) return;
  state.unavailable_until = now + kUnavailable;
  state.reclaimable_ordered = capacity.reclaimable;
}

void CapacityPlanner::PlanDomain(const DomainId& domain,
                                 const DomainCapacity& capacity, Time now,
                                 std::vector<CapacityOrder>& orders) {
  DomainState& state = m_states[domain];
  const std::uint32_t firm = WantedFirm(state, capacity, now);
  // Both kinds together stay within the service's limits.
  const std::uint32_t room = m_scaling.most - std::min(firm, m_scaling.most);
  const std::uint32_t reclaimable =
      std::min(WantedReclaimable(state, capacity, now), room);
  const bool missing = capacity.reclaimable < reclaimable &&
                       !IsComing(state, capacity, now) &&
                       now >= state.unavailable_until;
  if (state.reclaimable_ordered.value_or(0) != reclaimable || missing) {
    orders.push_back({m_service, domain, reclaimable, true});
  }
  if (state.firm_ordered.value_or(capacity.firm) != firm) {
    orders.push_back({m_service, domain, firm, false});
  }
}

void CapacityPlanner::ReplaceFirm(const DomainId& domain,
                                  const DomainCapacity& capacity, Time now,
                                  std::vector<CapacityOrder>& orders) {
  if (m_scaling.spot_price >= 1) return;
  DomainState& state = m_states[domain];
  const std::uint32_t firm = state.firm_ordered.value_or(capacity.firm);
  const std::uint32_t room = m_scaling.most - std::min(firm, m_scaling.most);
  const std::uint32_t wanted =
      std::max(capacity.reclaimable, std::min(firm, room));
  const bool asked = state.reclaimable_ordered.value_or(0) >= wanted &&
                     IsComing(state, capacity, now);
  if (wanted > capacity.reclaimable && !asked &&
      now >= state.unavailable_until) {
    orders.push_back({m_service, domain, wanted, true});
  }
  if (firm <= kFirmServers || capacity.reclaimable < firm) return;
  orders.push_back({m_service, domain, kFirmServers, false});
}

std::vector<CapacityOrder> CapacityPlanner::Plan(
    const std::map<DomainId, DomainCapacity>& domains, Time now) {
  UpdateNeed(domains, now);
  for (const auto& [domain, capacity] : domains) {
    NoteReclaim(m_states[domain], capacity, now);
  }
  const bool busy = std::any_of(domains.begin(), domains.end(), [](auto& item) {
    return item.second.busy > 0;
  });
  if (!busy) m_busy_since.reset();
  if (busy && !m_busy_since) m_busy_since = now;
  const bool observed = m_busy_since && now - *m_busy_since >= kObserve;
  std::vector<CapacityOrder> orders;
  for (const auto& [domain, capacity] : domains) {
    if (observed) {
      PlanDomain(domain, capacity, now, orders);
    } else {
      ReplaceFirm(domain, capacity, now, orders);
    }
  }
  return orders;
}

void CapacityPlanner::NoteAccepted(const CapacityOrder& order, Time now) {
  DomainState& state = m_states[order.domain];
  if (!order.reclaimable) {
    state.firm_ordered = order.servers;
    return;
  }
  state.reclaimable_ordered = order.servers;
  state.reclaimable_ordered_at = now;
}

void CapacityPlanner::NoteUnavailable(const CapacityOrder& order, Time now) {
  DomainState& state = m_states[order.domain];
  if (order.reclaimable) {
    state.unavailable_until = now + kUnavailable;
    return;
  }
  state.firm_ordered.reset();
}

}  // namespace cowslipknot::gateway
