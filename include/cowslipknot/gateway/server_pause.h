#pragma once

#include <chrono>
#include <vector>

#include "cowslipknot/coordination/server_pause.h"
#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// Returns after what time a caller should repeat a request for which no server
/// was usable, as SpreadReturn() does.
/// @param usual  the time when a server neither pauses nor is withheld
/// @param earliest  not before this time, if all are limited or pause
Milliseconds CallerRetryDelay(const std::vector<Backend>& backends,
                              std::chrono::nanoseconds now, Milliseconds usual,
                              UnitDraw draw,
                              Milliseconds earliest = Milliseconds(0));

}  // namespace cowslipknot::gateway
