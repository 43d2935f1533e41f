#include <random>

#include "cowslipknot/gateway/version_evidence.h"
#include "cowslipknot/gateway/version_move.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = VersionEvidence::Time;

constexpr Time kStart = std::chrono::seconds(100);
const MoveId kMove("s@7#80");
const RouteId kRoute("r");

SentAttempt MakeAttempt(bool is_new, std::uint64_t work = 500) {
  SentAttempt attempt;
  attempt.move = kMove;
  attempt.service = ServiceId("s");
  attempt.route = kRoute;
  attempt.is_new = is_new;
  attempt.work = TokenCount(work);
  return attempt;
}

Time After(double ms) {
  return kStart + std::chrono::nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}

/// A stream of `events` events: the first after `first_ms`, then every
/// `gap_ms`.
void RunStream(VersionEvidence& evidence, bool is_new, double first_ms,
               double gap_ms, std::uint64_t events) {
  const auto attempt = evidence.OnSent(MakeAttempt(is_new), kStart);
  for (std::uint64_t event = 1; event <= events; ++event) {
    evidence.OnEvents(
        attempt, event,
        After(first_ms + gap_ms * static_cast<double>(event - 1)));
  }
  evidence.OnEnd(attempt, false,
                 After(first_ms + gap_ms * static_cast<double>(events - 1)));
}

RouteEvidence Collected(VersionEvidence& evidence, Time now) {
  return evidence.Collect(now).at(kMove).at(kRoute);
}

VersionEvidence WithUsualStreams(double first_ms, double gap_ms) {
  VersionEvidence evidence;
  for (int i = 0; i < 60; ++i) RunStream(evidence, false, first_ms, gap_ms, 20);
  return evidence;
}

}  // namespace

// Guards against: requests keep going to a slow version until its answers end.
Test(version_evidence,
     an_attempt_that_is_overdue_counts_as_slow_while_it_runs) {
  VersionEvidence evidence = WithUsualStreams(60, 20);
  evidence.OnSent(MakeAttempt(true), kStart);
  cr_expect_eq(Collected(evidence, After(150)).new_slow.bad, 0u);
  const RouteEvidence seen = Collected(evidence, After(240));
  cr_expect_eq(seen.new_slow.bad, 1u);
  cr_expect_eq(seen.new_errors.total, 0u);
  cr_expect_eq(seen.new_sent, 1u);
}

// Guards against: a slow version becomes the measure of its own slowness.
Test(version_evidence, a_version_that_stays_slow_keeps_counting_as_slow) {
  VersionEvidence evidence = WithUsualStreams(60, 20);
  for (int i = 0; i < 200; ++i) RunStream(evidence, true, 300, 100, 20);
  const RouteEvidence seen = Collected(evidence, kStart);
  cr_expect_eq(seen.new_slow.total, 200u);
  cr_expect_eq(seen.new_slow.bad, 200u);
}

// Guards against: a version whose first event is in time but whose stream is
// several times slower is taken for a good one.
Test(version_evidence, a_slow_stream_after_a_timely_first_event_is_slow) {
  VersionEvidence evidence = WithUsualStreams(60, 20);
  RunStream(evidence, true, 60, 80, 20);
  RunStream(evidence, true, 60, 80, 4);
  cr_expect_eq(Collected(evidence, kStart).new_slow.bad, 2u);
}

Test(version_evidence, speed_differences_of_sound_servers_are_not_slow) {
  VersionEvidence evidence = WithUsualStreams(60, 20);
  for (int i = 0; i < 50; ++i) RunStream(evidence, true, 90, 30, 20);
  const RouteEvidence seen = Collected(evidence, kStart);
  cr_expect_eq(seen.new_slow.total, 50u);
  cr_expect_eq(seen.new_slow.bad, 0u);
}

Test(version_evidence, a_longer_prompt_is_expected_to_take_longer) {
  VersionEvidence evidence = WithUsualStreams(60, 20);
  evidence.OnSent(MakeAttempt(true, 20000), kStart);
  cr_expect_eq(Collected(evidence, After(240)).new_slow.bad, 0u);
  cr_expect_eq(Collected(evidence, After(2500)).new_slow.bad, 1u);
}

Test(version_evidence, a_caller_that_leaves_a_late_attempt_makes_it_slow) {
  VersionEvidence evidence = WithUsualStreams(60, 20);
  evidence.Forget(evidence.OnSent(MakeAttempt(true), kStart), After(40));
  cr_expect_eq(Collected(evidence, kStart).new_slow.total, 0u);
  evidence.Forget(evidence.OnSent(MakeAttempt(true), kStart), After(900));
  cr_expect_eq(Collected(evidence, kStart).new_slow.bad, 1u);
}

Test(version_evidence, a_whole_response_is_compared_with_the_usual_time) {
  VersionEvidence evidence;
  for (int i = 0; i < 20; ++i)
    evidence.OnEnd(evidence.OnSent(MakeAttempt(false), kStart), false,
                   After(20));
  evidence.OnEnd(evidence.OnSent(MakeAttempt(true), kStart), false, After(25));
  evidence.OnEnd(evidence.OnSent(MakeAttempt(true), kStart), false, After(150));
  const RouteEvidence seen = Collected(evidence, kStart);
  cr_expect_eq(seen.new_slow.total, 2u);
  cr_expect_eq(seen.new_slow.bad, 1u);
}

Test(version_evidence, a_failure_is_counted_once) {
  VersionEvidence evidence;
  const auto attempt = evidence.OnSent(MakeAttempt(true), kStart);
  evidence.OnEnd(attempt, true, After(10));
  evidence.OnEnd(attempt, true, After(20));
  evidence.Forget(attempt, After(30));
  const RouteEvidence seen = Collected(evidence, kStart);
  cr_expect_eq(seen.new_errors.total, 1u);
  cr_expect_eq(seen.new_errors.bad, 1u);
  cr_expect_eq(seen.new_sent, 1u);
}
