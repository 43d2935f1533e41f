#include "cowslipknot/coordination/evacuation.h"

#include <algorithm>
#include <iterator>

namespace cowslipknot {
namespace {

/// Time for the operator to write a lost order again.
constexpr std::chrono::seconds kRewriteGrace(10);

}  // namespace

bool EvacuationOrders::Put(const DomainId& domain,
                           const StorePosition& position) {
  const auto ending = m_endings.find(domain);
  const bool is_outdated = ending != m_endings.end() &&
                           position.era == ending->second.position.era &&
                           position <= ending->second.position;
  if (is_outdated) return false;
  const auto [item, is_new] = m_orders.try_emplace(domain);
  Order& order = item->second;
  order.position = std::max(order.position, position);
  order.lost_at.reset();
  return is_new;
}

bool EvacuationOrders::Remove(const DomainId& domain,
                              const StorePosition& position, Time now) {
  const auto item = m_orders.find(domain);
  if (item == m_orders.end()) return false;
  Order& order = item->second;
  // Sent by a relay that lags behind.
  if (position < order.position) return false;
  if (position.era > order.position.era) {
    if (!order.lost_at) order.lost_at = now;
    return false;
  }
  m_orders.erase(item);
  m_endings[domain] = {position, now};
  return true;
}

bool EvacuationOrders::RemoveUnlisted(const std::set<DomainId>& listed,
                                      const StorePosition& position, Time now) {
  bool changed = false;
  for (const auto& domain : Domains()) {
    if (listed.contains(domain)) continue;
    changed = Remove(domain, position, now) || changed;
  }
  return changed;
}

bool EvacuationOrders::Expire(Time now) {
  const auto erased = std::erase_if(m_orders, [&](const auto& item) {
    const auto& [domain, order] = item;
    if (!order.lost_at || now - *order.lost_at < kRewriteGrace) return false;
    m_endings[domain] = {order.position, now};
    return true;
  });
  return erased > 0;
}

std::vector<DomainId> EvacuationOrders::Domains() const {
  std::vector<DomainId> domains;
  domains.reserve(m_orders.size());
  for (const auto& [domain, order] : m_orders) domains.push_back(domain);
  return domains;
}

std::optional<EvacuationOrders::Time> EvacuationOrders::EndedAt(
    const DomainId& domain) const {
  const auto ending = m_endings.find(domain);
  if (ending == m_endings.end()) return std::nullopt;
  return ending->second.at;
}

}  // namespace cowslipknot
