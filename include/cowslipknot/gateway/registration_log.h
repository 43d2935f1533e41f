#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cowslipknot/gateway/server_registry.h"

/// Ordered changes of the backend server registrations, for instances that
/// follow another one instead of reading the store.
namespace cowslipknot::gateway {

/// Keeps the usable registrations with the order in which they changed, so that
/// each follower receives the changes since its last update only.
///
/// Heartbeats that do not affect routing are not passed on. With s servers and
/// f followers, a follower receives a message for each change instead of s rows
/// for each heartbeat interval. Single-threaded.
class RegistrationLog {
 public:
  /// The changes after a cursor.
  struct Changes {
    std::vector<ServerChange> changes;
    bool complete = false;     ///< they list all usable registrations
    std::uint64_t cursor = 0;  ///< where the next changes begin
  };

  /// Records what is usable now.
  /// @param position  of the store that `usable` reflects
  /// @return whether any change affects routing
  bool Update(const std::vector<ServerEntry>& usable,
              const StorePosition& position);

  /// @param cursor  of the last changes received; 0 for all registrations
  Changes Since(std::uint64_t cursor) const;

  /// The cursor of the latest change.
  std::uint64_t Cursor() const { return m_cursor; }
  /// Latest position of the store that an update reflected.
  const StorePosition& Position() const { return m_position; }

 private:
  struct Item {
    ServerChange change;
    std::uint64_t cursor = 0;
  };
  void ForgetOldRemovals();

  std::map<ServerId, Item> m_items;
  std::size_t m_removed = 0;   ///< items that record a removal
  std::uint64_t m_cursor = 1;  ///< 0 is the cursor of a new follower
  /// Removals up to this cursor are no longer recorded.
  std::uint64_t m_forgotten_cursor = 0;
  StorePosition m_position;
};

}  // namespace cowslipknot::gateway
