#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cowslipknot/gateway/version_move.h"

namespace cowslipknot::gateway {

/// The operator's orders for moves, as read from the store.
///
/// A restore of the store from a copy may lose an order, which the operator
/// writes again soon. It stays active until then, so that no traffic returns to
/// the version that its move took it away from. Reads no clock.
class MoveOrders {
 public:
  using Time = std::chrono::nanoseconds;

  /// Applies a row. One of an earlier order, which the store's copy had, takes
  /// effect only if the operator does not write the later one again in time.
  /// @return whether the orders changed, as with the other functions
  bool Put(const std::string& key, MoveOrder order, Time now);
  /// Records that the store has no such row at a position. In a later era than
  /// the order's the row may be lost.
  bool Remove(const std::string& key, const StorePosition& position, Time now);
  /// The same for all rows that a complete read has not listed.
  bool RemoveUnlisted(const std::set<std::string>& listed,
                      const StorePosition& position, Time now);
  /// Adds an order that a peer knows and the store, at a position, has lost.
  bool PutLost(MoveOrder order, const StorePosition& position, Time now);
  /// Ends lost orders that the operator has not written again in time.
  bool Expire(Time now);

  std::map<ServiceId, MoveOrder> ByService() const;

 private:
  struct KnownOrder {
    MoveOrder order;
    std::optional<Time> lost_at;       ///< set while the store has no such row
    std::optional<MoveOrder> earlier;  ///< that the store has instead
  };
  std::map<std::string, KnownOrder> m_orders;  ///< by row key
};

}  // namespace cowslipknot::gateway
