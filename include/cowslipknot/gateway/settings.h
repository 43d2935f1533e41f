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
  Endpoint readiness;  ///< asked by the balancer
  Endpoint metrics;
  std::optional<Endpoint> peers;  ///< where other instances borrow limits
  Endpoint store;
  Endpoint cloud;
  bool reports_usage = false;
  bool orders_capacity = false;
  ByteCount memory{256 << 20};       ///< of this process, at most
  std::uint32_t descriptors = 4096;  ///< of this process, at most

  // Bounds that the deployment promises; each is a duration from an event.
  Milliseconds apply{2000};   ///< a configuration, until it is in force
  Milliseconds revoke{5000};  ///< a removed key, until it is rejected
  Milliseconds drain{2000};   ///< a leaving server, until no request is sent
  Milliseconds stop{8000};    ///< SIGTERM, until the process is killed
  Milliseconds lease{3000};   ///< silence that ends a lease
  Milliseconds usage_window{5000};
  Milliseconds usage_due{10000};  ///< after a window's end
  QuotaTolerance quota;
  double retry_ratio = 0.2;     ///< repeats per request, over all instances
  double retry_slack = 50;      ///< repeats beyond that, over all instances
  double exposure_share = 0.1;  ///< of traffic to an unproved version
};

/// Parses and checks a settings file.
/// @return the settings, or every problem found
tl::expected<Settings, std::vector<ObjectProblem>> ParseSettings(
    std::string_view text, const std::string& file);

}  // namespace cowslipknot::gateway
