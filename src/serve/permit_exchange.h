#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/coordination/permit_granter.h"
#include "cowslipknot/coordination/server_limit.h"
#include "cowslipknot/state/fleet.h"
#include "serve/limit_codec.h"
#include "transport/asio.h"

namespace cowslipknot {

/// Keeps the requests of all instances of `serve` to a server within the limit
/// that the server names. Tracks the limits, obtains permits from the servers'
/// granters, and grants permits itself. Used on the control thread only.
class PermitExchange {
 public:
  using Time = std::chrono::nanoseconds;

  struct Hooks {
    /// Sends a frame to another instance and waits for its response.
    std::function<Awaitable<Result<PeerFrame>>(NodeId, PeerFrame)> call;
    /// The instances that may grant, with this one.
    std::function<std::vector<PermitInstance>()> instances;
    /// The process of a server that is listed now; nothing if there is none.
    std::function<std::optional<ServerView>(const ServerId&)> find_server;
  };

  PermitExchange(NodeId self, DomainId domain, asio::any_io_executor executor,
                 Hooks hooks);

  /// Applies changes of the instances and of the listed servers.
  void Update();

  /// Applies what a server's answer said of its limit.
  void OnStatement(const ServerStart& start, const LimitStatement& statement);

  /// Obtains a permit to send one request. If there is none, withholds the
  /// server until it is worth asking again.
  /// @return whether the request may be sent
  Awaitable<bool> Acquire(ServerStart start);

  /// Handles AskPermit and ServerLimits frames.
  PeerFrame Handle(const PeerFrame& frame);

 private:
  struct Tracked {
    std::int64_t started_ms = 0;
    std::shared_ptr<ServerLoad> load;
    LimitStatement statement;
    PermitGranter granter;
    std::optional<NodeId> main;        ///< its main granter
    std::optional<NodeId> substitute;  ///< of this instance's domain
    HeldPermits held;
    Time ask_main_from{0};
    std::optional<Time> removed_at;  ///< if the server is not listed
  };

  /// Connects the state with the server that is listed.
  /// @return false if the server has another process, or is gone for good
  bool KeepsTrack(const ServerId& id, Tracked& tracked) const;
  Tracked* Find(const ServerStart& start);
  /// The server's state, created when the server is listed and has none.
  Tracked* Track(const ServerStart& start);
  void AssignGranters(const ServerId& server, Tracked& tracked);
  /// @return whether the server became limited or ceased to be
  bool Apply(const ServerStart& start, Tracked& tracked,
             const LimitStatement& statement);
  void ApplyFrame(const PeerFrame& frame);
  /// Tells the other instances that a limit began or ended.
  void Tell(const ServerStart& start, const Tracked& tracked);
  Awaitable<void> Notify(NodeId node, PeerFrame notice);
  Awaitable<std::optional<PermitAnswer>> AskGranters(ServerStart start);
  Awaitable<std::optional<PermitAnswer>> Ask(ServerStart start, NodeId granter,
                                             GranterRole role);
  std::optional<PermitAnswer> Grant(Tracked& tracked, GranterRole role,
                                    const NodeId& asker);
  PeerFrame OnAskPermit(const PeerFrame& frame);

  NodeId m_self;
  DomainId m_domain;
  asio::any_io_executor m_executor;
  Hooks m_hooks;
  std::vector<PermitInstance> m_instances;
  Time m_instances_changed{0};
  std::map<ServerId, Tracked> m_tracked;  ///< that name or named a limit
  std::map<NodeId, Time> m_backoff_until;
};

}  // namespace cowslipknot
