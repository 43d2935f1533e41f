
#include <random>

#include "coordination/move_controller.h"
#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/coordination/sequential_test.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr int kRuns = 400;
constexpr int kRequestsPerRun = 1500;
constexpr double kAlpha = 0.005;

/// Share of runs in which testing after each request to the new version gives
/// `verdict` at any time.
double VerdictShare(double old_rate, double new_rate, Verdict verdict) {
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> draw(0, 1);
  int found = 0;
  for (int run = 0; run < kRuns; ++run) {
    RequestCounts old_counts;
    RequestCounts new_counts;
    for (int i = 0; i < kRequestsPerRun; ++i) {
      ++old_counts.total;
      old_counts.bad += draw(random) < old_rate;
      if (i % 5 != 0) continue;
      ++new_counts.total;
      new_counts.bad += draw(random) < new_rate;
      if (CompareRates(old_counts, new_counts, 0.05, kAlpha) == verdict) {
        ++found;
        break;
      }
    }
  }
  return static_cast<double>(found) / kRuns;
}

Move MakeMove() {
  Move move;
  move.name = MoveId("m");
  move.duration = Milliseconds(100000);
  move.watch_period = Milliseconds(1000);
  move.first_share = 0.1;
  return move;
}

MoveEvidence MakeEvidence(RequestCounts old_errors, RequestCounts new_errors) {
  RouteEvidence evidence;
  evidence.old_errors = old_errors;
  evidence.new_errors = new_errors;
  evidence.old_slow = {old_errors.total, 0};
  evidence.new_slow = {new_errors.total, 0};
  return {{RouteId("r"), evidence}};
}

}  // namespace

Test(sequential_test,
     an_equal_version_is_rarely_judged_bad_despite_repeated_testing) {
  cr_expect_leq(VerdictShare(0.02, 0.02, Verdict::kBad), 0.01);
}

Test(sequential_test, a_version_over_the_margin_is_rarely_judged_good) {
  cr_expect_leq(VerdictShare(0.02, 0.10, Verdict::kGood), 0.01);
}

Test(sequential_test, a_version_that_fails_half_its_requests_is_detected) {
  cr_expect_geq(VerdictShare(0.02, 0.5, Verdict::kBad), 0.99);
}

Test(sequential_test, bounds_enclose_the_measured_rate) {
  const auto bounds = ConfidenceSequence({100, 10}, 0.01);
  cr_expect_lt(bounds.low, 0.1);
  cr_expect_gt(bounds.high, 0.1);
  cr_expect_eq(ConfidenceSequence({}, 0.01).high, 1.0);
}

Test(move_decision, the_share_is_held_without_evidence) {
  MoveState state;
  state.share = 0.1;
  const auto decision = DecideMove(MakeMove(), state, {}, WallTime(50000));
  cr_expect(decision.action == MoveAction::kHold);
}

Test(move_decision, the_share_rises_no_faster_than_planned) {
  MoveState state;
  state.share = 0.1;
  const auto evidence = MakeEvidence({1000, 0}, {1000, 0});
  const auto early = DecideMove(MakeMove(), state, evidence, WallTime(0));
  cr_expect(early.action == MoveAction::kHold);
  const auto later = DecideMove(MakeMove(), state, evidence, WallTime(50000));
  cr_assert(later.action == MoveAction::kRaise);
  cr_expect_float_eq(later.share, 0.2, 1e-9);
}

Test(move_decision, a_regressed_route_rolls_the_move_back_and_is_named) {
  MoveState state;
  state.share = 0.1;
  auto evidence = MakeEvidence({1000, 0}, {1000, 0});
  evidence[RouteId("other")] =
      MakeEvidence({500, 0}, {20, 10}).at(RouteId("r"));
  const auto decision = DecideMove(MakeMove(), state, evidence, WallTime(0));
  cr_assert(decision.action == MoveAction::kRollBack);
  cr_expect(decision.reason.find("other") != std::string::npos);
}

Test(move_decision, the_move_is_rolled_back_at_its_deadline_without_evidence) {
  MoveState state;
  state.share = 0.1;
  const auto decision = DecideMove(MakeMove(), state, {}, WallTime(100000));
  cr_expect(decision.action == MoveAction::kRollBack);
}

Test(move_decision, full_share_is_watched_before_the_move_completes) {
  MoveState state;
  state.share = 1;
  const auto evidence = MakeEvidence({1000, 0}, {1000, 0});
  const auto full = DecideMove(MakeMove(), state, evidence, WallTime(90000));
  cr_expect(full.action == MoveAction::kStartWatch);
  state.phase = MovePhase::kWatching;
  state.full_since = WallTime(90000);
  const auto watching =
      DecideMove(MakeMove(), state, evidence, WallTime(90500));
  cr_expect(watching.action == MoveAction::kHold);
  const auto done = DecideMove(MakeMove(), state, evidence, WallTime(91000));
  cr_expect(done.action == MoveAction::kComplete);
}

Test(move_decision, shares_split_requests_by_their_hash) {
  int chosen = 0;
  std::mt19937_64 random(5);
  for (int i = 0; i < 10000; ++i) chosen += IsInShare(random(), 0.1);
  cr_expect_geq(chosen, 900);
  cr_expect_leq(chosen, 1100);
  cr_expect_not(IsInShare(0, 0.0));
}

Test(evidence, round_trips_and_rejects_malformed_text) {
  EvidenceByMove evidence;
  evidence[MoveId("m@1")] = MakeEvidence({10, 2}, {5, 1});
  const auto decoded = DecodeEvidence(EncodeEvidence(evidence));
  cr_expect_eq(decoded.at(MoveId("m@1")).at(RouteId("r")).new_errors.bad, 1u);
  cr_expect(DecodeEvidence("{\"m\":{\"r\":[1,2,0,0,0,0,0,0]}}").empty());
  cr_expect(DecodeEvidence("nonsense").empty());
}

// Guards against: evidence without the numbers sent, as earlier releases write
// it, is rejected as malformed.
Test(evidence, reads_evidence_without_the_numbers_sent) {
  const auto decoded = DecodeEvidence("{\"m\":{\"r\":[9,1,8,2,7,3,6,4]}}");
  const RouteEvidence& seen = decoded.at(MoveId("m")).at(RouteId("r"));
  cr_expect_eq(seen.new_slow.bad, 4u);
  cr_expect_eq(seen.new_sent, 0u);
  RouteEvidence sent = seen;
  sent.old_sent = 12;
  sent.new_sent = 10;
  const auto again =
      DecodeEvidence(EncodeEvidence({{MoveId("m"), {{RouteId("r"), sent}}}}));
  cr_expect_eq(again.at(MoveId("m")).at(RouteId("r")).old_sent, 12u);
  cr_expect_eq(again.at(MoveId("m")).at(RouteId("r")).new_sent, 10u);
}
