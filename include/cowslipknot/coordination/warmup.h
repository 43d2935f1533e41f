#pragma once

#include <chrono>
#include <optional>

#include "cowslipknot/ids.h"

/// Cold servers: for some seconds after its start a server takes only a few
/// requests a second, from all instances together.
namespace cowslipknot {

/// What the servers of a service take while they are cold.
struct ColdTolerance {
  Milliseconds duration{0};  ///< from its start until a server is warm
  RequestRate rate{0};       ///< from all instances together
};

/// By how much the requests to a cold server may exceed its rate, within any
/// second.
struct ColdOverage {
  double ratio = 1.5;  ///< to the rate
  double slack = 5;    ///< additional requests
};

/// What is known of a server's warm-up. Times are readings of this instance's
/// monotonic clock.
struct WarmupEvidence {
  using Time = std::chrono::nanoseconds;

  /// Until when the server's registration said that it is cold.
  Time stated_until{0};
  /// When the evacuation of its failure domain ended. The server may have
  /// started again meanwhile, and its registration may be read later.
  std::optional<Time> returned_at;
};

/// Until when a server counts as cold. What is not known counts as cold.
WarmupEvidence::Time ColdUntil(const WarmupEvidence& evidence,
                               const ColdTolerance& tolerance);

/// The rate at which permits for a cold server are granted.
///
/// With it, the main granter and all substitutes together stay within the
/// tolerated overage in any second (PermitGranter).
RequestRate ColdPermitRate(const ColdTolerance& tolerance,
                           const ColdOverage& overage);

}  // namespace cowslipknot
