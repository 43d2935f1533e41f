#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/configuration.h"

/// What an entry instance knows of backend servers and its peers.
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

/// The part of a server's state that traffic threads change.
///
/// Shared by all threads of the process; every member is atomic.
struct ServerLive {
  std::atomic<std::uint64_t> in_flight{0};
  /// Prompt tokens sent from here whose first output token is not back yet.
  std::atomic<std::uint64_t> in_flight_tokens{0};
  std::atomic<std::uint64_t> tokens_since_report{0};  ///< sent from here
  std::atomic<std::uint64_t> reported_queue_tokens{0};
  std::atomic<std::uint64_t> prefill_tokens_per_second{4000};
  std::atomic<std::int64_t> reported_at_ms{0};
  std::atomic<std::uint32_t> failures_in_row{0};
  std::atomic<std::int64_t> ejected_until_ms{0};
};

/// One backend server as seen by a request.
struct ServerView {
  InstanceRecord record;
  std::shared_ptr<ServerLive> live;
};

/// What traffic threads route by. Immutable; control publishes a new one.
struct FleetSnapshot {
  ConfigurationPtr configuration;  ///< null until the first is received
  std::map<std::string, WorkspaceId> api_keys;
  DomainId domain;                                    ///< of this instance
  std::map<PoolId, std::vector<ServerView>> servers;  ///< none is leaving
  std::set<MoveId> taken_back;  ///< starts of moves no longer followed
  std::size_t members = 1;      ///< live entry instances, itself included
  bool draining = false;
  bool instances_known = false;  ///< an instance list has been received
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

/// The key under which a server's leaving mark is spread.
std::string LeavingKey(const ServerId& server, Incarnation incarnation);

/// Servers of an instance list, with marks that merge monotonically.
class Fleet {
 public:
  /// Applies list rows; a row with an older incarnation is ignored.
  void Apply(const std::vector<InstanceRecord>& rows);

  /// Removes a row that the list no longer holds.
  void Remove(const ServerId& id);

  /// Marks one incarnation as leaving. @return true if that is news
  bool MarkLeaving(const ServerId& id, Incarnation incarnation);

  const std::map<ServerId, InstanceRecord>& Records() const {
    return m_records;
  }

  /// Servers that may take new work, by pool.
  std::map<PoolId, std::vector<ServerView>> Available() const;

 private:
  std::map<ServerId, InstanceRecord> m_records;
  std::map<ServerId, std::shared_ptr<ServerLive>> m_live;
  std::set<std::string> m_leaving;
};

}  // namespace cowslipknot
