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

void StreamGapMeter::OnBytes(Time now, bool complete_event) {
  const auto pause = now - m_last_byte;
  m_last_byte = now;
  if (complete_event) {
    m_last_event = now;
    m_trickle = {};
    m_in_event = false;
    return;
  }
  if (m_in_event && pause <= m_max_event_gap) m_trickle += pause;
  m_in_event = true;
}

StreamGap StreamGapMeter::Gap(Time now) const {
  return {std::chrono::duration_cast<Milliseconds>(now - m_last_event),
          std::chrono::duration_cast<Milliseconds>(m_trickle)};
}

bool IsStalled(const Route& route, const StreamGap& gap) {
  return gap.since_event >= SilenceTimeout(route) ||
         gap.trickle > PartialEventTimeout(route);
}

StallAction DecideStall(const Route& route, const StreamGap& gap,
                        bool may_resume) {
  return IsStalled(route, gap) && may_resume ? StallAction::kResume
                                             : StallAction::kWait;
}

}  // namespace cowslipknot::gateway
