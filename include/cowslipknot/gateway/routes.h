#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cowslipknot/coordination/warmup.h"
#include "cowslipknot/ids.h"

/// The configuration of a gateway instance: routes, services and workspaces.
namespace cowslipknot::gateway {

/// How often a request of a route may be executed.
enum class RouteKind : std::uint8_t {
  kSafe,    ///< idempotent; may be retried
  kUnsafe,  ///< executed at most once
  kStream,  ///< event stream; executed at most once unless resumable
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
  Milliseconds timeout{30000};            ///< from the time the request is read
  Milliseconds latency_target{1000};      ///< time to response or first event
  Milliseconds max_event_gap{1000};  ///< target for the time between events
  std::uint32_t max_attempts = 1;
  std::uint32_t priority = 0;  ///< 0 is the most urgent
  bool is_public = false;      ///< requires no API key
  bool resumable = false;      ///< a stream can resume at another server

  /// Whether a request may be executed more than once.
  bool Repeatable() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

/// A caller's workspace and its limit over all instances.
struct Workspace {
  WorkspaceId name;
  std::uint32_t priority = 0;
  double rate_per_s = 0;  ///< 0 means no limit
  double burst = 0;
  bool counts_tokens = false;  ///< rate and burst are in tokens, not requests
  TokenCount default_request_tokens{1};  ///< cost of a request of unknown size
};

/// By how much usage may exceed a limit within a sliding window.
struct QuotaTolerance {
  Milliseconds window{8000};
  double overage = 0.1;  ///< fraction of the limit over the window
  double slack = 0;      ///< additional cost
};

/// Autoscaling settings of a service, for each failure domain.
struct Scaling {
  std::uint32_t min_servers = 0;  ///< per failure domain
  std::uint32_t max_servers = 0;  ///< per failure domain
  Milliseconds boot_time{0};      ///< time until an ordered server is ready
  double spot_price_ratio = 1;    ///< of a reclaimable to an on-demand server
  std::map<DomainId, double> domain_prices;
};

struct Service {
  ServiceId name;
  std::uint32_t max_connections = 0;  ///< per server, over all instances
  std::uint32_t slots = 0;            ///< model servers: concurrent requests
  TokenCount kv_capacity;             ///< model servers: size of the KV cache
  bool is_model = false;
  std::optional<Scaling> scaling;
  std::optional<ColdTolerance> cold;  ///< none if servers are never cold
};

/// Size limits and timeouts for caller connections.
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
  /// Whether requests require an API key; those of public routes never do. A
  /// configuration may require keys and list none.
  bool requires_keys = false;
  CallerLimits limits;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Finds routes by host and longest path prefix. Immutable; built once for each
/// configuration, which must outlive it.
class RouteTable {
 public:
  explicit RouteTable(const Configuration& configuration);

  /// @param target  request target; its query is ignored
  /// @return nullptr when no route matches
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  std::unordered_map<std::string, const Route*> m_routes;  ///< host + prefix
};

/// Selects the service of a route that serves a request, by weight.
/// @param hash  hash of the request id
const ServiceId& PickService(const Route& route, std::uint64_t hash);

}  // namespace cowslipknot::gateway
