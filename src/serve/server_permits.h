#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/metrics.h"
#include "cowslipknot/coordination/server_limit.h"
#include "cowslipknot/gateway/fleet_view.h"
#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/gateway/settings.h"
#include "serve/peer_links.h"
#include "serve/permit_book.h"
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

/// Connects a gateway's PermitBook with the servers and instances of its
/// snapshots, and tells callers when to return. Used on the traffic thread
/// only.
class ServerPermits {
 public:
  using Time = std::chrono::nanoseconds;

  ServerPermits(PeerLinks& links, asio::any_io_executor executor,
                const Settings& settings, MetricSet& metrics);

  /// Applies a new set of instances and servers. State of servers that are no
  /// longer registered is removed.
  void Update(const KnownInstances& instances,
              const std::map<ServiceId, std::vector<Backend>>& servers);

  /// Records that the set of instances was read, also if it did not change.
  void OnInstancesRead(Time at) { m_instances_read_at = at; }

  /// Takes a server that can't be reached for a cold one until it must have
  /// registered again: it may start under the registration that is known.
  void OnUnreachable(const Backend& server);

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
  PermitBook::Hooks MakeHooks();
  void UpdateInstances(const KnownInstances& instances);
  void TellNewInstances(const std::vector<InstanceSummary>& before);
  Awaitable<Result<PeerFrame>> CallInstance(NodeId node, PeerFrame frame);
  /// Tells the other instances by way of a server's main granter, so that its
  /// frames suffice if many instances notice a change.
  void Tell(const std::optional<NodeId>& granter,
            const PermitBook::NoticeBuilder& build_notice);
  Awaitable<void> TellGranter(Endpoint granter,
                              PermitBook::NoticeBuilder build_notice);
  const Backend* FindServer(const ServerId& server) const;
  void Count(const ServerId& server, PermitEvent event);

  PeerLinks& m_links;
  asio::any_io_executor m_executor;
  const Settings& m_settings;
  MetricSet& m_metrics;
  PermitBook m_book;
  std::vector<InstanceSummary> m_serving;
  std::map<NodeId, Endpoint> m_addresses;  ///< of the other instances
  std::vector<Endpoint> m_peers;
  std::map<ServerId, Backend> m_registered;
  Time m_instances_read_at{0};
  std::map<ServiceId, ReturnQueue> m_returns;
  RowLogFilter m_odd_limits;
};

}  // namespace cowslipknot::gateway
