#include "cowslipknot/gateway/server_pause.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot::gateway {
namespace {

/// Longest pause. A server that restarts or recovers meanwhile would otherwise
/// stay unused because of one faulty response.
constexpr Milliseconds kMaxServerPause(std::chrono::minutes(5));
constexpr double kMsPerSecond = 1000;
/// Callers return within this fraction of the remaining pause after its end, or
/// within the usual time if that is longer.
constexpr double kReturnSpread = 0.5;

}  // namespace

ServerPause BoundPause(double seconds) {
  if (std::isnan(seconds) || seconds < 0) return {Milliseconds(0), true};
  const double ms = std::ceil(seconds * kMsPerSecond);
  if (ms > static_cast<double>(kMaxServerPause.count()))
    return {kMaxServerPause, true};
  return {Milliseconds(static_cast<std::int64_t>(ms)), false};
}

Milliseconds CallerRetryDelay(const std::vector<Backend>& backends,
                              std::chrono::nanoseconds now, Milliseconds usual,
                              UnitDraw draw) {
  std::optional<std::chrono::nanoseconds> first_end;
  for (const auto& backend : backends) {
    if (backend.state->IsLeaving()) continue;
    if (!backend.state->IsPaused(now)) return usual;
    const auto end = backend.state->PausedUntil();
    first_end = std::min(first_end.value_or(end), end);
  }
  if (!first_end) return usual;
  const auto left = std::chrono::ceil<Milliseconds>(*first_end - now);
  const double spread =
      std::max(static_cast<double>(usual.count()),
               kReturnSpread * static_cast<double>(left.count()));
  return left + Milliseconds(static_cast<std::int64_t>(draw * spread));
}

}  // namespace cowslipknot::gateway
