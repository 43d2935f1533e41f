#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/fleet.h"

/// Pauses that servers ask for when they refuse a request, and what callers are
/// told while all servers of a pool pause.
namespace cowslipknot {

struct ServerPause {
  Milliseconds length{0};
  bool is_adjusted = false;  ///< the requested value was not usable as it was
};

/// Bounds a requested pause.
/// @param seconds  may be negative, infinite or not a number
ServerPause BoundPause(double seconds);

/// Returns after what time a caller should repeat a request when the first
/// pause ends after `left`: spread over a while after that, so that callers do
/// not return at the same moment.
/// @param usual  the time when not all servers pause
Milliseconds SpreadReturn(std::chrono::nanoseconds left, Milliseconds usual,
                          UnitDraw draw);

/// Records that a server asked for no requests until a time. A shorter pause
/// does not end a longer one.
/// @param until  in TimeSinceBoot(), as all times below
void RecordPause(ServerLoad& load, std::chrono::nanoseconds until);
bool IsPaused(const ServerLoad& load, std::chrono::nanoseconds now);

/// Whether a server may not be sent a request now, because it pauses or because
/// no permit for it is to be had.
bool IsUnavailable(const ServerLoad& load, std::chrono::nanoseconds now);

/// When the first server becomes available if all servers of a pool that do not
/// leave are not; nothing if one of them is, or there are none.
std::optional<std::chrono::nanoseconds> FirstPauseEnd(
    const std::vector<ServerView>& servers, std::chrono::nanoseconds now);

}  // namespace cowslipknot
