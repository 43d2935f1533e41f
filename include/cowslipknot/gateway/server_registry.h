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
  Milliseconds warmup_left{0};  ///< time until it is warm, as it stated
  /// Until when it said that it is cold, by the clock of the instance that
  /// tracks it; set by ServerRegistry.
  std::chrono::nanoseconds cold_until{0};
  bool reclaimable = false;
  std::int64_t started_ms = 0;  ///< Unix time of its start; identifies restarts
  /// Of its row in the store. Orders what different instances have read.
  StorePosition position;
};

/// Whether the difference between two registrations of a server affects
/// routing.
bool AffectsRouting(const ServerEntry& earlier, const ServerEntry& later);

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
/// An instance can't tell such an outage from one of its own link, during which
/// registrations that are missing have ended. So a grace period follows only
/// an outage in which a registration may have lapsed, and starts when the last
/// failed read was sent, at which time the link was still down.
///
/// Registrations arrive from the store and from other instances, which may lag
/// behind. One that is older than a known removal or change of the same server
/// has no effect. A removal always has: a server that is left too early returns
/// once the other instance has caught up.
///
/// A store that is restored from a copy brings registrations back that had
/// ended. A process that was leaving stays so; one whose registration was gone
/// is not used until its row is written anew, or has outlived the time after
/// which the store removes the registration of a silent server.
///
/// Reads no clock: readings of a monotonic clock are arguments.
/// Single-threaded.
class ServerRegistry {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param reregistration_grace  time that servers have to register again
  /// @param silence_limit  time after which the store removes the registration
  ///                       of a silent server, with a margin
  explicit ServerRegistry(Milliseconds reregistration_grace,
                          Milliseconds silence_limit = Milliseconds(5000))
      : m_reregistration_grace(reregistration_grace),
        m_silence_limit(silence_limit) {}

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
  bool OnServerLeaving(const ServerId& id, std::int64_t started_ms, Time now,
                       const StorePosition& position = {});

  /// Marks a process of a server as leaving by its own account. Later
  /// registrations of the same process, which may be delayed, do not end this.
  /// @return true if the server was ready
  bool OnLeavingResponse(const ServerId& id, std::int64_t started_ms, Time now);

  /// Records a read of the registrations that failed. Other calls don't count.
  /// @param sent  when the read was sent
  void OnReadFailed(Time sent) { m_failed_read_sent = sent; }
  /// Records a successful read, before what it has read is applied. Begins a
  /// grace period if it ends an outage.
  /// @param sent  when the read was sent
  void OnRead(Time sent);
  /// Begins a grace period because the store was restored from a copy, which
  /// may lack registrations. Has no effect a second time in an era.
  void OnRestored(StoreEra era, Time now);

  /// Ends the grace period: another instance, which has applied its own, says
  /// which servers are registered, so that the two do not add up. Lapsed
  /// entries that it does not list are removed by the next Replace().
  void EndGrace(Time now);

  /// Removes lapsed entries whose grace period has passed, and uses entries
  /// that a restore brought back and that are still registered.
  /// @param position  of the store as last read
  /// @return true if routing is affected
  bool Expire(Time now, const StorePosition& position = {});
  /// Removes lapsed entries only, for which no read is needed.
  bool ExpireLapsed(Time now, const StorePosition& position);
  /// When ExpireLapsed() is due; nothing if no entry has lapsed.
  std::optional<Time> NextLapse() const;

  /// Ready servers, including lapsed ones, ordered by id.
  std::vector<ServerEntry> UsableServers() const;
  /// The ready servers that are known to run, on which a decision that can't be
  /// undone may rely. The registration of a server that has ended stays in the
  /// store for some heartbeats, and a restored store may bring it back.
  std::vector<ServerEntry> RunningServers(Time now) const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Registration {
    ServerEntry entry;
    std::optional<Time> lapsed_until;
    std::optional<Time> unused_until;  ///< brought back by a restore
    /// When the server is known to run, if its row lasts until then. Sooner
    /// once the row is written again.
    Time runs_from{0};
    bool IsUsable() const {
      return entry.state == ServerState::kReady && !unused_until;
    }
  };
  /// The end of a registration, as read or as another instance said.
  struct Ending {
    StorePosition position;
    std::int64_t started_ms = 0;  ///< of the server's process
  };

  bool Remove(const ServerId& id, Time now, const StorePosition& position);
  bool Put(const ServerEntry& registered, Time now);
  /// When a server whose row was read is known to run.
  Time RunsFrom(const ServerEntry& entry, Time now) const;
  /// After this time without a write a row was surely removed, with a margin
  /// for late heartbeats and reads.
  Time PresumedRunningAfter() const { return m_silence_limit * 3 / 2; }
  void RememberEnding(const ServerId& id, const Ending& ending);
  void RememberLeaving(const ServerId& id, std::int64_t started_ms);
  bool IsKnownToLeave(const ServerEntry& entry) const;
  /// Whether a restore of the store has brought back an entry that had ended.
  bool IsBroughtBack(const ServerEntry& entry) const;
  /// Whether a restore of the store has brought back an entry of a process that
  /// a later one had replaced.
  bool IsOfFormerProcess(const ServerEntry& entry) const;
  /// Whether an entry is older than what is known of its server.
  bool IsOutdated(const ServerEntry& entry) const;

  Milliseconds m_reregistration_grace;
  Milliseconds m_silence_limit;
  std::map<ServerId, Registration> m_entries;
  std::map<ServerId, Ending> m_endings;
  /// Latest start of each server whose process said that it is leaving.
  std::map<ServerId, std::int64_t> m_leaving_starts;
  std::optional<Time> m_read_sent;         ///< last successful read
  std::optional<Time> m_failed_read_sent;  ///< last failed one, since then
  std::optional<Time> m_grace_until;
  StoreEra m_restored_era;  ///< of the last restore
};

}  // namespace cowslipknot::gateway
