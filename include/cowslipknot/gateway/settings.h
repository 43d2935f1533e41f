#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/objects.h"

namespace cowslipknot::gateway {

/// Settings of one gateway instance, read from its TOML file.
struct Settings {
  NodeId node;
  DomainId domain;
  Endpoint callers;
  Endpoint readiness;  ///< readiness checks of the load balancer
  Endpoint metrics;
  std::optional<Endpoint> peers;  ///< where other instances borrow quota
  Endpoint store;
  Endpoint cloud;
  bool reports_usage = false;
  bool orders_capacity = false;
  /// Refuses less urgent requests to services that lack room.
  bool sheds_under_shortage = false;
  ByteCount max_memory{256 << 20};             ///< limit for this process
  std::uint32_t max_descriptors = 0x7fffffff;  ///< besides RLIMIT_NOFILE

  // Bounds that the deployment guarantees. A duration that names two events
  // runs from the first to the second.
  Milliseconds apply_bound{2000};  ///< new configuration until it is in force
  /// Order to evacuate a failure domain until its servers get no requests.
  Milliseconds evacuate_bound{5000};
  Milliseconds revoke_bound{5000};  ///< removed API key until it is rejected
  Milliseconds drain_bound{2000};  ///< leaving server until it gets no requests
  /// Interval at which a backend server renews its registration.
  Milliseconds server_heartbeat{1200};
  Milliseconds stop_timeout{8000};   ///< SIGTERM until the process is killed
  Milliseconds lease_timeout{3000};  ///< time without renewal that ends a lease
  Milliseconds usage_window{5000};
  /// End of a usage window until its report is due.
  Milliseconds usage_report_timeout{10000};
  ColdOverage cold_overage;  ///< of requests to a cold server
  QuotaTolerance quota;
  double retry_ratio = 0.2;     ///< retries per request, over all instances
  double retry_slack = 50;      ///< additional retries, over all instances
  double exposure_share = 0.1;  ///< of traffic, to a version not yet verified
  double exposure_slack = 50;   ///< additional requests to such a version
};

/// Parses and validates a settings file.
/// @param file  file name for problem reports
/// @return the settings, or all problems found
tl::expected<Settings, std::vector<ObjectProblem>> ParseSettings(
    std::string_view text, const std::string& file);

}  // namespace cowslipknot::gateway
