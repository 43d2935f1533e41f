#include "cowslipknot/gateway/move_orders.h"

#include <algorithm>

#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {
namespace {

/// Time for the operator to write a lost order again.
constexpr std::chrono::seconds kRewriteGrace(10);

/// Whether a row of a later era was written before the known order.
bool IsOfCopy(const MoveOrder& known, const MoveOrder& order) {
  return order.revision.era > known.revision.era &&
         order.revision.version < known.revision.version;
}

}  // namespace

bool MoveOrders::Put(const std::string& key, MoveOrder order, Time now) {
  std::erase_if(m_orders, [&](const auto& item) {
    return item.first != key && item.second.lost_at &&
           item.second.order.service == order.service;
  });
  const auto [item, is_new] = m_orders.try_emplace(key);
  KnownOrder& known = item->second;
  const bool is_same = !is_new && IsSameOrder(known.order, order);
  if (!is_new && !is_same && IsOfCopy(known.order, order)) {
    if (!known.lost_at) known.lost_at = now;
    known.earlier = std::move(order);
    return false;
  }
  known.lost_at.reset();
  known.earlier.reset();
  if (is_same) {
    if (known.order.revision == order.revision) return false;
    order.first_seen = known.order.first_seen;
  }
  known.order = std::move(order);
  return true;
}

bool MoveOrders::Remove(const std::string& key, const StorePosition& position,
                        Time now) {
  const auto item = m_orders.find(key);
  if (item == m_orders.end()) return false;
  KnownOrder& known = item->second;
  if (position.era > known.order.revision.era) {
    if (!known.lost_at) known.lost_at = now;
    return false;
  }
  m_orders.erase(item);
  return true;
}

bool MoveOrders::RemoveUnlisted(const std::set<std::string>& listed,
                                const StorePosition& position, Time now) {
  std::set<std::string> removed;
  for (const auto& [key, known] : m_orders) {
    if (!listed.contains(key)) removed.insert(key);
  }
  bool changed = false;
  for (const auto& key : removed)
    changed = Remove(key, position, now) || changed;
  return changed;
}

bool MoveOrders::PutLost(MoveOrder order, const StorePosition& position,
                         Time now) {
  if (position.era <= order.revision.era) return false;
  const bool known =
      std::any_of(m_orders.begin(), m_orders.end(), [&order](const auto& item) {
        return item.second.order.service == order.service;
      });
  if (known) return false;
  const std::string key = order.service.Text();
  m_orders[key] = {std::move(order), now, {}};
  return true;
}

bool MoveOrders::Expire(Time now) {
  bool changed = false;
  for (auto& [key, known] : m_orders) {
    const bool is_due = known.lost_at && now - *known.lost_at >= kRewriteGrace;
    if (!is_due || !known.earlier) continue;
    known = {std::move(*known.earlier), {}, {}};
    changed = true;
  }
  const auto erased = std::erase_if(m_orders, [now](const auto& item) {
    const auto& lost_at = item.second.lost_at;
    return lost_at && now - *lost_at >= kRewriteGrace;
  });
  return changed || erased > 0;
}

std::map<ServiceId, MoveOrder> MoveOrders::ByService() const {
  std::map<ServiceId, MoveOrder> orders;
  for (const auto& [key, known] : m_orders)
    orders[known.order.service] = known.order;
  return orders;
}

}  // namespace cowslipknot::gateway
