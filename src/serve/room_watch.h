#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "cowslipknot/coordination/return_plan.h"
#include "cowslipknot/coordination/shed_level.h"
#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/gateway/settings.h"
#include "serve/peer_links.h"

namespace cowslipknot::gateway {

/// When a request was first sent, and what is left of its time.
struct RequestAge {
  Milliseconds age{0};
  Milliseconds time_left{0};
};

/// Refuses the less urgent requests to services that lack room, and tells their
/// callers when to return. Covers services whose routes differ in priority, if
/// the settings ask for it. Used on the traffic thread only.
class RoomWatch {
 public:
  using Time = std::chrono::nanoseconds;
  using Peers = std::function<std::vector<Endpoint>()>;
  using Draw = std::function<UnitDraw()>;

  /// @param peers  returns the other instances
  RoomWatch(PeerLinks& links, const asio::any_io_executor& executor,
            const Settings& settings, MetricSet& metrics, Peers peers,
            Draw draw);

  void Update(const ConfigurationPtr& configuration);

  /// Decides about a request that no server was asked for.
  /// @return the delay of its caller's return if it is refused
  std::optional<Milliseconds> Refuse(const Route& route,
                                     const ServiceId& service,
                                     const RequestAge& age);
  /// The delay of the return of a caller whose request no server accepted;
  /// nothing if the service isn't short of room.
  std::optional<Milliseconds> ReturnDelay(const Route& route,
                                          const ServiceId& service,
                                          const RequestAge& age);
  /// Whether a request should wait behind those that can be on time.
  bool WaitsBehind(const Route& route, const ServiceId& service,
                   Milliseconds age);

  /// An attempt at a server; ended by its destructor.
  class Attempt {
   public:
    Attempt(RoomWatch& watch, const Route& route, ServiceId service);
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;
    ~Attempt();
    void OnFirstEvent();
    /// The server was full.
    void OnRefused();

   private:
    RoomWatch& m_watch;
    ServiceId m_service;
    std::uint64_t m_id = 0;  ///< 0: not counted
  };

 private:
  struct ServiceRoom {
    std::vector<std::uint32_t> priorities;  ///< in order of urgency
    ShedLevel level;
    ReturnPlan returns;
    bool is_short = false;
    double highest = 0;
    std::uint64_t refused = 0;  ///< since the shortage began
  };

  /// The room of a service that is covered, up to date; nullptr otherwise.
  ServiceRoom* Find(const ServiceId& service);
  void Log(const ServiceId& service, ServiceRoom& room, double level);
  static Urgency UrgencyOf(const ServiceRoom& room, const Route& route);
  static RefusedRequest Describe(const ServiceRoom& room, const Route& route,
                                 const RequestAge& age);
  Milliseconds PromiseReturn(ServiceRoom& room, const Route& route,
                             const RefusedRequest& request, const char* reason);
  Awaitable<void> ShareLevels();
  Awaitable<void> ShareLevel(ServiceId service, Endpoint peer);
  PeerFrame OnShareShortage(const PeerFrame& frame);

  PeerLinks& m_links;
  MetricSet& m_metrics;
  bool m_enabled;
  Peers m_peers;
  Draw m_draw;
  ConfigurationPtr m_configuration;
  std::map<ServiceId, ServiceRoom> m_rooms;
};

}  // namespace cowslipknot::gateway
