#include "cowslipknot/gateway/server_pause.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot {
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

Milliseconds SpreadReturn(std::chrono::nanoseconds time_left,
                          Milliseconds usual, UnitDraw draw) {
  const auto left = std::chrono::ceil<Milliseconds>(time_left);
  const double spread =
      std::max(static_cast<double>(usual.count()),
               kReturnSpread * static_cast<double>(left.count()));
  return left + Milliseconds(static_cast<std::int64_t>(draw * spread));
}

void RecordPause(ServerLoad& load, std::chrono::nanoseconds until) {
  std::int64_t known = load.paused_until_ns;
  while (known < until.count() &&
         !load.paused_until_ns.compare_exchange_weak(known, until.count())) {
  }
}

bool IsPaused(const ServerLoad& load, std::chrono::nanoseconds now) {
  return now.count() < load.paused_until_ns;
}

bool IsUnavailable(const ServerLoad& load, std::chrono::nanoseconds now) {
  return IsPaused(load, now) || now.count() < load.withheld_until_ns;
}

std::optional<std::chrono::nanoseconds> FirstPauseEnd(
    const std::vector<ServerView>& servers, std::chrono::nanoseconds now) {
  std::optional<std::chrono::nanoseconds> first_end;
  for (const auto& server : servers) {
    if (server.load->leaving) continue;
    const std::chrono::nanoseconds end(
        std::max(server.load->paused_until_ns.load(),
                 server.load->withheld_until_ns.load()));
    if (end <= now) return std::nullopt;
    first_end = std::min(first_end.value_or(end), end);
  }
  return first_end;
}

}  // namespace cowslipknot

namespace cowslipknot::gateway {

Milliseconds CallerRetryDelay(const std::vector<Backend>& backends,
                              std::chrono::nanoseconds now, Milliseconds usual,
                              UnitDraw draw, Milliseconds earliest) {
  std::optional<std::chrono::nanoseconds> first_end;
  for (const auto& backend : backends) {
    const BackendState& state = *backend.state;
    if (state.IsLeaving()) continue;
    if (!state.IsPaused(now) && !state.Limit(now)) return usual;
    const auto end =
        std::max({now, state.PausedUntil(), state.WithheldUntil()});
    first_end = std::min(first_end.value_or(end), end);
  }
  if (!first_end) return usual;
  const auto left =
      std::max<std::chrono::nanoseconds>(*first_end - now, earliest);
  return SpreadReturn(left, usual, draw);
}

}  // namespace cowslipknot::gateway
