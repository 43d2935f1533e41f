#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/configuration.h"
#include "cowslipknot/state/unlisted_servers.h"

/// An entry instance's view of the backend servers and of its peers.
namespace cowslipknot {

/// One row of the platform's instance list.
struct InstanceRecord {
  ServerId id;
  std::string kind;  ///< "engine", "plain" or "entry"
  Endpoint address;
  DomainId domain;
  PoolId pool;
  Incarnation incarnation;
  bool leaving = false;
  bool reclaimable = true;
  double price_per_hour = 1.0;
};

/// State of a server that traffic threads update.
///
/// Shared by all threads of the process; every member is atomic.
struct ServerLoad {
  std::atomic<std::uint64_t> in_flight{0};
  /// Prompt tokens sent by this instance whose first output token has not been
  /// received.
  std::atomic<std::uint64_t> in_flight_tokens{0};
  std::atomic<std::uint64_t> tokens_since_report{0};  ///< sent by this instance
  std::atomic<std::uint64_t> reported_queue_tokens{0};
  std::atomic<std::uint64_t> prefill_tokens_per_second{4000};
  std::atomic<std::int64_t> reported_at_ms{0};
  std::atomic<std::uint32_t> consecutive_failures{0};
  std::atomic<std::int64_t> ejected_until_ms{0};
  std::atomic<std::int64_t> paused_until_ns{0};  ///< in TimeSinceBoot()
  std::atomic<bool> leaving{false};  ///< the server said so in an answer
  /// Whether the server names a limit on its requests from all instances, so
  /// that each one needs a permit.
  std::atomic<bool> limited{false};
  /// Until when no permit is to be had, in TimeSinceBoot().
  std::atomic<std::int64_t> withheld_until_ns{0};
};

/// A backend server and its shared load counters.
struct ServerView {
  InstanceRecord record;
  std::shared_ptr<ServerLoad> load;
};

/// Routing state for the traffic threads. Immutable; the control thread
/// publishes a new snapshot when something changes.
struct FleetSnapshot {
  ConfigurationPtr configuration;  ///< null until one is received
  std::map<std::string, WorkspaceId> api_keys;
  DomainId domain;                                    ///< of this instance
  std::map<PoolId, std::vector<ServerView>> servers;  ///< without leaving ones
  std::set<MoveId> rolled_back;  ///< their new version is not used
  std::size_t members = 1;       ///< live entry instances, including this one
  bool draining = false;
  bool instances_known = false;  ///< an instance list has been received
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

/// Key of the gossip record that marks a server as leaving.
std::string LeavingKey(const ServerId& server, Incarnation incarnation);

/// The servers of the instance list and which of them are leaving. Leaving
/// marks merge monotonically: a marked incarnation stays marked until a newer
/// one is listed, or until many servers were removed after it.
///
/// What was learned of a server stays known while its row is missing: the row
/// of the same process may come back.
class Fleet {
 public:
  /// Applies rows of the instance list; ignores rows of an older incarnation.
  void Apply(const std::vector<InstanceRecord>& rows);

  /// Removes a server that is no longer in the list.
  void Remove(const ServerId& id);

  /// Marks one incarnation as leaving.
  /// @return false if it was marked already, or a newer one is listed
  bool MarkLeaving(const ServerId& id, Incarnation incarnation);

  /// Number of incarnations that are marked as leaving.
  std::size_t LeavingCount() const { return m_leaving.size(); }

  const std::map<ServerId, InstanceRecord>& Records() const {
    return m_records;
  }

  /// A listed server; nothing if there is none of this id.
  std::optional<ServerView> Find(const ServerId& id) const;

  /// Servers that may take new work, by pool: none of the evacuated domains.
  std::map<PoolId, std::vector<ServerView>> Available(
      const std::set<DomainId>& evacuated = {}) const;

 private:
  std::map<ServerId, InstanceRecord> m_records;
  std::map<ServerId, std::shared_ptr<ServerLoad>> m_loads;
  UnlistedServers<std::shared_ptr<ServerLoad>> m_unlisted_loads;
  std::set<std::string> m_leaving;
  /// Marks whose servers were removed, the oldest first.
  std::deque<std::string> m_marks_of_removed;
};

}  // namespace cowslipknot
