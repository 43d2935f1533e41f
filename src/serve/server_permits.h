#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/metrics.h"
#include "cowslipknot/coordination/permit_granter.h"
#include "cowslipknot/coordination/server_limit.h"
#include "cowslipknot/gateway/fleet_view.h"
#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/gateway/settings.h"
#include "serve/limit_codec.h"
#include "serve/peer_links.h"
#include "serve/row_log_filter.h"

namespace cowslipknot::gateway {

/// The instances among which the granters of limited servers are chosen.
struct KnownInstances {
  /// Those that may be serving, with this one; empty until it knows them.
  std::vector<InstanceSummary> serving;
  /// This process replaces one of the same node that was serving until now, so
  /// that it may grant at once.
  bool inherits = false;
};

/// Keeps the requests of all instances to a server within the limit that the
/// server names, and within what it takes while it is cold. Tracks the limits,
/// obtains permits from the servers' granters, and grants permits itself. Used
/// on the traffic thread only.
class ServerPermits {
 public:
  using Time = std::chrono::nanoseconds;

  ServerPermits(PeerLinks& links, asio::any_io_executor executor,
                const Settings& settings, MetricSet& metrics);

  /// Applies a new set of instances and servers. State of servers that are no
  /// longer registered is removed.
  void Update(const KnownInstances& instances,
              const std::map<ServiceId, std::vector<Backend>>& servers);

  /// Applies what a server's answer said of its limit.
  void OnStatement(const Backend& server, const LimitStatement& statement);

  /// Whether to log that a server stated an unusable limit, since it may do so
  /// in each answer.
  bool ShouldLogOddLimit(const ServerId& server);

  /// Obtains a permit to send one request. Withholds the server from further
  /// requests until it is worth asking again if there is none.
  /// @return whether the request may be sent
  Awaitable<bool> Acquire(ServerEntry server);

  /// Returns after what time a caller should repeat a request that no limited
  /// server may be sent; nothing if a server names no limit.
  std::optional<Milliseconds> ReturnDelay(const ServiceId& service,
                                          const std::vector<Backend>& servers);

 private:
  struct Tracked {
    std::int64_t started_ms = 0;
    ServiceId service;
    std::shared_ptr<BackendState> state;
    LimitStatement statement;
    Time cold_until{0};
    std::optional<RequestRate> cold_rate;
    PermitGranter granter;
    std::optional<NodeId> main;        ///< its main granter
    std::optional<NodeId> substitute;  ///< of this instance's domain
    HeldPermits held;
    Time ask_main_from{0};
    std::optional<Time> removed_at;  ///< if the server is not registered
  };

  /// The server's state, created when it is registered and has none.
  Tracked* Track(const ServerStart& start);
  Tracked* Find(const ServerStart& start);
  void AssignGranters(const ServerId& server, Tracked& tracked, Time since);
  /// The lower of the stated limit and the rate of a cold server; nothing if
  /// neither binds.
  static std::optional<RequestRate> LimitOf(const Tracked& tracked, Time now);
  /// Tracks the servers that are cold.
  void UpdateColdServers();
  /// Records until when a server is cold; the latest time that any instance
  /// knows of counts.
  void ExtendCold(const ServerStart& start, Tracked& tracked, Time until);
  /// @return whether the server became limited or ceased to be
  bool Apply(const ServerStart& start, Tracked& tracked,
             const LimitStatement& statement);
  /// Tells the other instances that a limit began or ended: by way of the main
  /// granter, so that its frames suffice if many instances notice it.
  void Tell(const ServerStart& start, const Tracked& tracked);
  Awaitable<void> TellGranter(Endpoint granter, ServerStart start,
                              LimitStatement statement);
  /// Connects the state with the server's registration.
  /// @return false if the server has another process, or is gone for good
  bool KeepsTrack(const ServerId& server, Tracked& tracked) const;
  void TellNewInstances(const std::vector<InstanceSummary>& before);
  PeerFrame BuildNotice(const ServerStart& start,
                        const LimitStatement& statement) const;

  Awaitable<std::optional<PermitAnswer>> AskGranters(ServerStart start);
  Awaitable<std::optional<PermitAnswer>> Ask(ServerStart start, NodeId granter,
                                             GranterRole role);
  Awaitable<std::optional<PermitAnswer>> AskPeer(ServerStart start,
                                                 Endpoint peer,
                                                 GranterRole role);
  std::optional<PermitAnswer> Grant(Tracked& tracked, GranterRole role,
                                    const NodeId& asker);
  PeerFrame OnAskPermit(const PeerFrame& frame);
  PeerFrame OnServerLimits(const PeerFrame& frame);
  void CountPermit(const Tracked& tracked, const char* outcome);

  PeerLinks& m_links;
  asio::any_io_executor m_executor;
  const Settings& m_settings;
  MetricSet& m_metrics;
  std::vector<InstanceSummary> m_serving;
  std::vector<PermitInstance> m_instances;  ///< that may grant
  std::map<NodeId, Endpoint> m_addresses;   ///< of the other instances
  std::vector<Endpoint> m_peers;
  /// When the set of instances last changed; a role may date from then.
  Time m_instances_changed{0};
  std::map<ServerId, Backend> m_registered;
  std::map<ServerId, Tracked> m_tracked;  ///< that name or named a limit
  std::map<Endpoint, Time> m_backoff_until;
  std::map<ServiceId, ReturnQueue> m_returns;
  RowLogFilter m_odd_limits;
};

}  // namespace cowslipknot::gateway
