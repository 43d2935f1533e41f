#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cowslipknot/coordination/permit_granter.h"
#include "cowslipknot/coordination/server_limit.h"
#include "serve/limit_codec.h"
#include "transport/asio.h"

namespace cowslipknot {

/// A process of a server that is listed now.
struct PermitServer {
  std::int64_t started_ms = 0;
  /// Rate of permits while it is cold; none if it takes all requests then.
  std::optional<RequestRate> cold_rate;
};

/// What the selection of servers reads of a server.
struct PermitState {
  using Time = std::chrono::nanoseconds;

  std::optional<RequestRate> limit;  ///< that the server names
  Time cold_until{0};
  std::optional<RequestRate> cold_rate;
  Time withheld_until{0};  ///< no permit is expected before
};

/// The instances among which the granters of servers are chosen.
struct PermitInstances {
  std::vector<PermitInstance> granters;  ///< with this one, if it may grant
  /// When this instance took over a role that it has from now on.
  PermitState::Time since{0};
  /// Others may have granted in the roles that this instance had until now.
  bool voids_roles = false;
  /// Part of each limit that the granters named grant.
  double fraction = 1;
};

enum class PermitEvent : std::uint8_t {
  kGranted,
  kDenied,
  kNoGranter,
  kLimitBegun,
  kColdBegun,
};

/// Keeps the requests of all instances to a server within the limit that the
/// server names, and within what it takes while it is cold. Tracks the limits,
/// obtains permits from the servers' granters, and grants permits itself. Used
/// on one thread only.
class PermitBook {
 public:
  using Time = std::chrono::nanoseconds;
  /// Builds a frame when it is sent: the ages in it count from then.
  using NoticeBuilder = std::function<PeerFrame()>;

  /// Timeout of a request for a permit; the caller's request waits meanwhile.
  static constexpr Milliseconds kAskTimeout{60};
  /// Time until every instance knows of a change of the instances.
  static constexpr Milliseconds kHandOver{4000};

  struct Hooks {
    /// Sends a frame to another instance and waits for its response, up to
    /// kAskTimeout.
    std::function<Awaitable<Result<PeerFrame>>(NodeId, PeerFrame)> call;
    /// Tells other instances that a server's limit began or ended.
    std::function<void(const std::optional<NodeId>& granter, NoticeBuilder)>
        tell;
    /// The process of a server that is listed now; nothing if there is none.
    std::function<std::optional<PermitServer>(const ServerId&)> find_server;
    /// Records the state of a server for the selection of servers, if its
    /// process is listed. Called again with the same state when servers are
    /// applied.
    std::function<void(const ServerBoot&, const PermitState&)> record;
    std::function<void(const ServerId&, PermitEvent)> count;
    /// Whether the instances were read so lately that no other one can have
    /// taken over this one's roles; may be empty. Else nothing is granted for
    /// cold servers, whose bound holds also while this instance is cut off.
    std::function<bool()> knows_instances;
  };

  struct Identity {
    NodeId node;
    DomainId domain;
    /// Instances tell only the granter, which tells the others.
    bool tells_by_granter = false;
  };

  PermitBook(Identity identity, Hooks hooks);

  /// Applies changes of the listed servers. The state of a process that is not
  /// listed is kept, since it may be listed again, until a later process of its
  /// server is listed or nothing that is known of it binds any more.
  void UpdateServers();
  /// Applies a new set of instances.
  void UpdateInstances(PermitInstances instances);

  /// Applies what a server's answer said of its limit.
  void OnStatement(const ServerBoot& start, const LimitStatement& statement);
  /// Applies until when a server is cold; the latest time counts.
  void OnCold(const ServerBoot& start, Time until);

  /// Obtains a permit to send one request. If there is none, withholds the
  /// server until it is worth asking again.
  /// @return whether the request may be sent
  Awaitable<bool> Acquire(ServerBoot start);

  /// Handles AskPermit and ServerLimits frames.
  PeerFrame Handle(const PeerFrame& frame);

  /// A notice of the limited and cold servers whose main granter this instance
  /// is; nothing if there are none.
  std::optional<PeerFrame> BuildNoticeOfGranted() const;
  const std::vector<PermitInstance>& Granters() const { return m_granters; }

 private:
  struct Tracked {
    LimitStatement statement;
    Time cold_until{0};
    std::optional<RequestRate> cold_rate;
    Time withheld_until{0};
    PermitGranter granter;
    std::optional<NodeId> main;        ///< its main granter
    std::optional<NodeId> substitute;  ///< of this instance's domain
    HeldPermits held;
    Time ask_main_from{0};
    std::optional<Time> unlisted_at;  ///< if the process is not listed
  };
  using TrackedServers = std::map<ServerBoot, Tracked>;

  /// Connects the state with the process that is listed.
  /// @return false if the process has ended, or nothing known of it binds
  bool KeepsTrack(const ServerBoot& start, Tracked& tracked) const;
  /// Bounds the number of processes that are not listed.
  void DropLongestUnlisted();
  Tracked* Find(const ServerBoot& start);
  /// The process's state, created if it has none.
  /// @return null if a later process of the server is listed
  Tracked* Track(const ServerBoot& start);
  void AssignGranters(const ServerId& server, Tracked& tracked);
  /// The lower of the stated limit and the rate of a cold server; nothing if
  /// neither binds.
  static std::optional<RequestRate> LimitOf(const Tracked& tracked, Time now);
  void Record(const ServerBoot& start, const Tracked& tracked) const;
  void Withhold(const ServerBoot& start, Tracked& tracked, Time until) const;
  void ExtendCold(const ServerBoot& start, Tracked& tracked, Time until);
  /// @return whether the server became limited or ceased to be
  bool Apply(const ServerBoot& start, Tracked& tracked,
             const LimitStatement& statement);
  void Tell(const ServerBoot& start, const Tracked& tracked);
  void ApplyFrame(const PeerFrame& frame);

  Awaitable<std::optional<PermitAnswer>> AskGranters(ServerBoot start);
  Awaitable<std::optional<PermitAnswer>> Ask(ServerBoot start, NodeId granter,
                                             GranterRole role);
  Awaitable<std::optional<PermitAnswer>> AskPeer(ServerBoot start, NodeId peer,
                                                 GranterRole role);
  std::optional<PermitAnswer> Grant(Tracked& tracked, GranterRole role,
                                    const NodeId& asker);
  PeerFrame OnAskPermit(const PeerFrame& frame);

  Identity m_self;
  Hooks m_hooks;
  std::vector<PermitInstance> m_granters;
  double m_fraction = 1;
  /// When the set of instances last changed; a role may date from then.
  Time m_roles_since{0};
  TrackedServers m_tracked;  ///< limited or cold, now or before
  std::map<NodeId, Time> m_backoff_until;
};

}  // namespace cowslipknot
