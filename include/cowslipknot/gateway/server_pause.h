#pragma once

#include <chrono>
#include <vector>

#include "cowslipknot/coordination/server_pause.h"
#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// Returns after what time a caller should repeat a request for which no server
/// was usable, as SpreadReturn() does.
/// @param usual  the time when not all servers pause
Milliseconds CallerRetryDelay(const std::vector<Backend>& backends,
                              std::chrono::nanoseconds now, Milliseconds usual,
                              UnitDraw draw);

}  // namespace cowslipknot::gateway
