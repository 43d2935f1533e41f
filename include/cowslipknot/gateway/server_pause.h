#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/ids.h"

/// Pauses that servers ask for when they refuse a request, and what callers are
/// told while all servers of a service pause.
namespace cowslipknot::gateway {

struct ServerPause {
  Milliseconds length{0};
  bool is_adjusted = false;  ///< the requested value was not usable as it was
};

/// Bounds a requested pause.
/// @param seconds  may be negative, infinite or not a number
ServerPause BoundPause(double seconds);

/// Returns after what time a caller should repeat a request for which no server
/// was usable: spread over a while after the first server's pause has ended, so
/// that callers do not return at the same moment.
/// @param usual  the time when not all servers pause
Milliseconds CallerRetryDelay(const std::vector<Backend>& backends,
                              std::chrono::nanoseconds now, Milliseconds usual,
                              UnitDraw draw);

}  // namespace cowslipknot::gateway
