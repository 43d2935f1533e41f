#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

/// Evacuation of failure domains: their backend servers get no new requests.
namespace cowslipknot {

/// The operator's orders to evacuate failure domains, as one instance knows
/// them.
///
/// A restore of the store from a copy may lose an order, which the operator
/// writes again soon. It stays in force until then, so that no request reaches
/// the domain meanwhile. Reads no clock: readings of a monotonic clock are
/// arguments. Single-threaded.
class EvacuationOrders {
 public:
  using Time = std::chrono::nanoseconds;

  /// Applies the row of an order. One that is older than the known end of the
  /// order, from a relay that lags behind, has no effect.
  /// @return whether the set of evacuated domains changed, as with the others
  bool Put(const DomainId& domain, const StorePosition& position);
  /// Records that the store has no such row at a position. In a later era than
  /// the order's, the row may be lost.
  bool Remove(const DomainId& domain, const StorePosition& position, Time now);
  /// The same for all rows that a complete read has not listed.
  bool RemoveUnlisted(const std::set<DomainId>& listed,
                      const StorePosition& position, Time now);
  /// Ends lost orders that the operator has not written again in time.
  bool Expire(Time now);

  bool Contains(const DomainId& domain) const {
    return m_orders.contains(domain);
  }
  std::vector<DomainId> Domains() const;
  /// When the last order for a domain ended; nothing if there was none.
  std::optional<Time> EndedAt(const DomainId& domain) const;

 private:
  struct Order {
    StorePosition position;
    std::optional<Time> lost_at;  ///< set while the store has no such row
  };
  std::map<DomainId, Order> m_orders;
  struct Ending {
    StorePosition position;
    Time at{0};
  };
  std::map<DomainId, Ending> m_endings;  ///< the last one of each domain
};

}  // namespace cowslipknot
