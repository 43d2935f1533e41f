#include <rapidcheck.h>

#include "cowslipknot/gateway/stream_stall.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

Route ResumableRoute(Milliseconds target, Milliseconds gap) {
  Route route;
  route.kind = RouteKind::kStream;
  route.resumable = true;
  route.latency_target = target;
  route.max_event_gap = gap;
  return route;
}

const StreamGapMeter::Time kStart{};
const Route kRoute = ResumableRoute(Milliseconds(400), Milliseconds(300));

}  // namespace

Test(stream_stall, a_sound_server_may_be_silent_for_a_second) {
  const StreamGap gap{Milliseconds(1000), Milliseconds(0)};
  cr_expect(DecideStall(kRoute, gap, true) == StallAction::kWait);
}

Test(stream_stall, a_stream_waits_for_its_server_if_no_other_can_go_on) {
  const StreamGap gap{Milliseconds(10000), Milliseconds(0)};
  cr_expect(DecideStall(kRoute, gap, false) == StallAction::kWait);
  cr_expect(DecideStall(kRoute, gap, true) == StallAction::kResume);
}

Test(stream_stall, a_stream_resumes_elsewhere_before_its_caller_leaves) {
  rc::check([] {
    const auto target = *rc::gen::inRange(1, 5000);
    const auto event_gap = *rc::gen::inRange(1, 2000);
    const Route route =
        ResumableRoute(Milliseconds(target), Milliseconds(event_gap));
    RC_ASSERT(CallerPatience(route) >= std::chrono::seconds(2));
    RC_ASSERT(SilenceTimeout(route) >= std::chrono::seconds(1));
    RC_ASSERT(SilenceTimeout(route) < CallerPatience(route));
    const StreamGap gap{SilenceTimeout(route), Milliseconds(0)};
    RC_ASSERT(DecideStall(route, gap, true) == StallAction::kResume);
  });
}

Test(stream_stall, bytes_without_an_event_are_no_progress) {
  cr_expect(!IsStalled(kRoute, {Milliseconds(0), Milliseconds(600)}));
  cr_expect(IsStalled(kRoute, {Milliseconds(0), Milliseconds(601)}));
}

Test(stream_stall, a_stream_that_must_not_resume_is_left_with_its_route_only) {
  Route route = kRoute;
  route.resumable = false;
  cr_expect(SilenceTimeout(route) == route.timeout);
  cr_expect(PartialEventTimeout(route) == route.timeout);
}

// Guards against leaving a sound server because a silence fell inside an event.
Test(stream_stall, a_silence_inside_an_event_is_no_trickle) {
  StreamGapMeter meter(kRoute.max_event_gap, kStart);
  meter.OnBytes(kStart, false);
  meter.OnBytes(kStart + Milliseconds(1200), false);
  meter.OnBytes(kStart + Milliseconds(1230), false);
  const StreamGap gap = meter.Gap(kStart + Milliseconds(1230));
  cr_expect_eq(gap.trickle.count(), 30);
  cr_expect_eq(gap.since_event.count(), 1230);
  cr_expect(!IsStalled(kRoute, gap));
}

Test(stream_stall, bytes_that_complete_no_event_stall_a_stream_at_any_pace) {
  rc::check([] {
    const Milliseconds pace(*rc::gen::inRange(1, 5000));
    StreamGapMeter meter(kRoute.max_event_gap, kStart);
    auto now = kStart;
    meter.OnBytes(now, false);
    while (now < kStart + CallerPatience(kRoute)) {
      now += pace;
      meter.OnBytes(now, false);
    }
    RC_ASSERT(IsStalled(kRoute, meter.Gap(now)));
  });
}

Test(stream_stall, a_complete_event_ends_the_gap) {
  StreamGapMeter meter(kRoute.max_event_gap, kStart);
  for (int ms = 0; ms <= 1000; ms += 100)
    meter.OnBytes(kStart + Milliseconds(ms), false);
  cr_expect(IsStalled(kRoute, meter.Gap(kStart + Milliseconds(1000))));
  meter.OnBytes(kStart + Milliseconds(1100), true);
  const StreamGap gap = meter.Gap(kStart + Milliseconds(1100));
  cr_expect_eq(gap.trickle.count(), 0);
  cr_expect_eq(gap.since_event.count(), 0);
}

Test(stream_stall, a_server_that_sends_no_event_is_kept_if_no_other_can_go_on) {
  const StreamGap gap{Milliseconds(1000), Milliseconds(1000)};
  cr_expect(DecideStall(kRoute, gap, false) == StallAction::kWait);
  cr_expect(DecideStall(kRoute, gap, true) == StallAction::kResume);
}
