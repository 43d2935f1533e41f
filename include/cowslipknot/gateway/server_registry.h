#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"

/// Backend servers as they register themselves.
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
  std::int64_t started_ms = 0;  ///< Unix time of its start; tells restarts
};

/// A change of the registrations; no entry means that it was removed.
struct ServerChange {
  ServerId id;
  std::optional<ServerEntry> entry;
};

/// Follows registrations, and what their absence means after an outage of the
/// store: servers whose registration lapsed meanwhile are kept until those
/// that live have had time to register again.
///
/// Pure: readings of a monotonic clock are arguments.
class ServerRegistry {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param return_grace  time for lapsed entries to come back
  explicit ServerRegistry(Milliseconds return_grace)
      : m_return_grace(return_grace) {}

  /// Applies changes in order. @return true if a server to use changed
  bool Apply(const std::vector<ServerChange>& changes, Time now);
  /// Applies the whole list; entries that it lacks count as removed.
  bool Replace(const std::vector<ServerEntry>& entries, Time now);

  /// Another instance has read that a server leaves.
  /// @param started_ms  start of the server that is meant
  /// @return true if it was in use
  bool NoteLeaving(const ServerId& id, std::int64_t started_ms);

  /// The store did not answer.
  void NoteOutage() { m_store_away = true; }
  /// The store answers.
  void NoteAnswer(Time now);

  /// Drops lapsed entries whose time to come back has passed.
  /// @return true if one was dropped
  bool Expire(Time now);

  /// Ready servers, lapsed ones included, in order of id.
  std::vector<ServerEntry> Usable() const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Known {
    ServerEntry entry;
    std::optional<Time> lapsed_until;
  };

  bool Remove(const ServerId& id, Time now);
  bool Put(const ServerEntry& entry);

  Milliseconds m_return_grace;
  std::map<ServerId, Known> m_entries;
  bool m_store_away = false;
  std::optional<Time> m_returned;
};

}  // namespace cowslipknot::gateway
