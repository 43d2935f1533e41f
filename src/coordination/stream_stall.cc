#include "cowslipknot/gateway/stream_stall.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// The caller leaves after the longest of these; docs/platform.md.
constexpr Milliseconds kMinCallerPatience(2000);
constexpr int kPatienceLatencyTargets = 4;
constexpr int kPatienceEventGaps = 8;
/// The rest is for the other server's first event.
constexpr double kSilenceFraction = 0.7;
/// In multiples of the route's allowed gap between events.
constexpr int kPartialEventGaps = 2;
constexpr Milliseconds kMinPartialEventTimeout(500);

}  // namespace

Milliseconds CallerPatience(const Route& route) {
  return std::max({kMinCallerPatience,
                   kPatienceLatencyTargets * route.latency_target,
                   kPatienceEventGaps * route.max_event_gap});
}

Milliseconds SilenceTimeout(const Route& route) {
  if (!route.resumable) return route.timeout;
  return std::chrono::duration_cast<Milliseconds>(CallerPatience(route) *
                                                  kSilenceFraction);
}

Milliseconds PartialEventTimeout(const Route& route) {
  if (!route.resumable) return route.timeout;
  return std::max(kMinPartialEventTimeout,
                  kPartialEventGaps * route.max_event_gap);
}

StallAction DecideSilence(const Route& route, const StreamGap& gap,
                          bool may_resume) {
  const bool stalled = gap.silence >= SilenceTimeout(route);
  return stalled && may_resume ? StallAction::kResume : StallAction::kWait;
}

bool SendsNoEvent(const Route& route, const StreamGap& gap) {
  return gap.partial_event > PartialEventTimeout(route);
}

}  // namespace cowslipknot::gateway
