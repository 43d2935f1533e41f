#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

/// Self-registered backend servers.
namespace cowslipknot::gateway {

enum class ServerState : std::uint8_t { kReady, kDraining };

/// One server's registration.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  Endpoint address;
  DomainId domain;
  VersionId version;
  std::uint32_t slots = 0;
  ServerState state = ServerState::kReady;
  Milliseconds warmup_left{0};
  bool reclaimable = false;
  std::int64_t started_ms = 0;  ///< Unix time of its start; identifies restarts
  /// Of its row in the store. Orders what different instances have read.
  StorePosition position;
};

/// Whether the difference between two registrations of a server affects
/// routing.
bool AffectsRouting(const ServerEntry& left, const ServerEntry& right);

/// A change of one registration. No entry means that it was removed.
struct ServerChange {
  ServerId id;
  std::optional<ServerEntry> entry;
  StorePosition removed_at;  ///< position of the removal in the store
};

/// Tracks the registered backend servers.
///
/// Registrations lapse during an outage of the store, although the servers are
/// running. For a grace period after an outage, ready servers whose
/// registration is missing are therefore kept, so that they can register again.
///
/// Registrations arrive from the store and from other instances, which may lag
/// behind. One that is older than a known removal or change of the same server
/// has no effect. A removal always has: a server that is left too early returns
/// once the other instance has caught up.
///
/// Reads no clock: readings of a monotonic clock are arguments.
/// Single-threaded.
class ServerRegistry {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param return_grace  time that servers have to register again
  explicit ServerRegistry(Milliseconds reregistration_grace)
      : m_reregistration_grace(reregistration_grace) {}

  /// Applies changes in order. @return true if routing is affected
  bool Apply(const std::vector<ServerChange>& changes, Time now);
  /// Applies a complete list; missing entries count as removed.
  /// @param position  of the store that the list reflects
  /// @return true if routing is affected
  bool Replace(const std::vector<ServerEntry>& entries, Time now,
               const StorePosition& position = {});

  /// Marks a server as draining after a notice from another instance.
  /// @param started_ms  start time of the server, so that a notice about its
  ///                    former process has no effect
  /// @param position  of the store in which it was leaving
  /// @return true if the server was ready
  bool OnServerLeaving(const ServerId& id, std::int64_t started_ms,
                       const StorePosition& position = {});

  /// Marks a process of a server as leaving by its own account. Later
  /// registrations of the same process, which may be delayed, do not end this.
  /// @return true if the server was ready
  bool OnLeavingResponse(const ServerId& id, std::int64_t started_ms);

  /// Records that the store did not respond.
  void OnStoreUnavailable() { m_store_unavailable = true; }
  /// Records that the store responds.
  void OnStoreAvailable(Time now);

  /// Ends the grace period: another instance, which has applied its own, says
  /// which servers are registered, so that the two do not add up. Lapsed
  /// entries that it does not list are removed by the next Replace().
  void EndGrace();

  /// Removes lapsed entries whose grace period has passed.
  /// @return true if any was removed
  bool Expire(Time now);

  /// Ready servers, including lapsed ones, ordered by id.
  std::vector<ServerEntry> UsableServers() const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Registration {
    ServerEntry entry;
    std::optional<Time> lapsed_until;
  };

  bool Remove(const ServerId& id, Time now, const StorePosition& position);
  bool Put(const ServerEntry& registered);
  void RememberRemoval(const ServerId& id, const StorePosition& position);
  void RememberLeaving(const ServerId& id, std::int64_t started_ms);
  bool IsKnownToLeave(const ServerEntry& entry) const;
  /// Whether an entry is older than what is known of its server.
  bool IsOutdated(const ServerEntry& entry) const;

  Milliseconds m_reregistration_grace;
  std::map<ServerId, Registration> m_entries;
  std::map<ServerId, StorePosition> m_removed_at;
  /// Latest start of each server whose process said that it is leaving.
  std::map<ServerId, std::int64_t> m_leaving_starts;
  bool m_store_unavailable = false;
  /// End of the last outage of the store.
  std::optional<Time> m_store_recovered_at;
};

}  // namespace cowslipknot::gateway
