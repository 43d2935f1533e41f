#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cowslipknot/ids.h"

/// The configuration of a gateway instance: which request goes where, for whom.
namespace cowslipknot::gateway {

/// What may be repeated.
enum class RouteKind : std::uint8_t {
  kSafe,    ///< may run more than once
  kUnsafe,  ///< runs at most once
  kStream,  ///< answered by events; runs at most once unless resumable
};

struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

struct Route {
  RouteId name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  std::vector<WeightedService> services;  ///< at least one
  Milliseconds timeout{30000};            ///< from reading the request on
  Milliseconds objective{1000};           ///< to the answer or first event
  Milliseconds event_gap{1000};  ///< longest pause between events in time
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  bool is_public = false;      ///< needs no API key
  bool resumable = false;      ///< a stream may go on at another server

  /// Whether a request may run a second time.
  bool Repeatable() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// A caller's workspace and its limit over all instances.
struct Workspace {
  WorkspaceId name;
  std::uint32_t priority = 0;
  double rate_per_s = 0;  ///< 0: no limit
  double burst = 0;
  bool counts_tokens = false;      ///< rate and burst are in tokens
  TokenCount uncounted_tokens{1};  ///< for a request that states no size
};

/// What the deployment tolerates beyond a limit, over a sliding window.
struct QuotaTolerance {
  Milliseconds window{8000};
  double overage = 0.1;  ///< part of what the limit allows in the window
  double slack = 0;      ///< cost beyond that
};

/// Orders for servers of one service in one failure domain.
struct Scaling {
  std::uint32_t least = 0;  ///< servers a failure domain
  std::uint32_t most = 0;
  Milliseconds boot{0};
  double spot_price = 1;  ///< of a reclaimable server, as part of the other's
  std::map<DomainId, double> domain_prices;
};

struct Service {
  ServiceId name;
  std::uint32_t max_connections = 0;  ///< a server, from all instances
  std::uint32_t slots = 0;            ///< model servers: requests at once
  TokenCount kv_capacity;             ///< model servers: memory
  bool is_model = false;
  std::optional<Scaling> scaling;
};

/// Bounds on what callers send.
struct CallerLimits {
  ByteCount header{16 << 10};
  ByteCount body{4 << 20};
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  std::map<WorkspaceId, Workspace> workspaces;
  std::unordered_map<std::string, WorkspaceId> api_keys;
  CallerLimits limits;

  /// Whether requests need a key at all.
  bool HasWorkspaces() const { return !workspaces.empty(); }
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Finds routes by host and longest path prefix. Built once a configuration.
class RouteTable {
 public:
  explicit RouteTable(const Configuration& configuration);

  /// @param target  request target; its query is ignored
  /// @return nullptr when no route matches
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  std::unordered_map<std::string, const Route*> m_routes;  ///< host + prefix
};

/// The service that a request of a route goes to.
/// @param hash  of the request's id; spreads requests by weight
const ServiceId& PickService(const Route& route, std::uint64_t hash);

}  // namespace cowslipknot::gateway
