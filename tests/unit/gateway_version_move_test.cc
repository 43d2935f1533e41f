#include <rapidcheck.h>

#include <random>

#include "cowslipknot/gateway/version_move.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr double kMaxExposureShare = 0.1;
constexpr std::int64_t kDurationMs = 15000;
constexpr std::int64_t kStartMs = 1000000;

VersionMove MakeMove() {
  VersionMove move;
  move.order = {ServiceId("s"),
                VersionId("v2"),
                Milliseconds(kDurationMs),
                {StoreEra(1), StoreVersion(7)}};
  move.origin = move.order.revision;
  move.state = InitialState(kMaxExposureShare, WallTime(kStartMs));
  return move;
}

/// Faults of the simulated new version.
struct VersionFaults {
  double error_share = 0;  ///< errors beyond those of the old version
  double slow_share = 0;
  std::int64_t start_ms = 0;  ///< faults begin this long after the order
};

struct Outcome {
  MovePhase phase = MovePhase::kRunning;
  double exposed_share = 0;  ///< new version's share until the deadline
  std::uint64_t observed_errors = 0;
  std::int64_t decided_ms = 0;
};

/// Simulates a constant request rate until the move's deadline. Decides once a
/// second on evidence that is one second old.
Outcome Simulate(const VersionFaults& faults, int requests_per_second,
                 std::uint32_t seed) {
  constexpr double kOldErrorShare = 0.05;
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  VersionMove move = MakeMove();
  MoveEvidence evidence;
  MoveEvidence reported;
  Outcome outcome;
  std::uint64_t to_new = 0;
  std::uint64_t all = 0;
  for (std::int64_t ms = 0; ms < kDurationMs; ms += 1000) {
    const auto next = NextState(move, reported, WallTime(kStartMs + ms));
    if (next) move.state = *next;
    const bool decided = move.state.phase == MovePhase::kDone ||
                         move.state.phase == MovePhase::kRolledBack;
    if (decided && outcome.decided_ms == 0) outcome.decided_ms = ms;
    reported = evidence;
    for (int i = 0; i < requests_per_second; ++i) {
      ++all;
      RouteEvidence& route_evidence = evidence[RouteId(i % 3 == 0 ? "a" : "b")];
      const bool is_new =
          RoutesToNewVersion(move, random() * (1ULL << 32), false);
      const bool faulty = is_new && ms >= faults.start_ms;
      const bool bad = draw(random) < kOldErrorShare ||
                       (faulty && draw(random) < faults.error_share);
      const bool slow = faulty && draw(random) < faults.slow_share;
      (is_new ? route_evidence.new_errors : route_evidence.old_errors) +=
          RequestCounts{1, bad ? 1U : 0U};
      (is_new ? route_evidence.new_slow : route_evidence.old_slow) +=
          RequestCounts{1, slow ? 1U : 0U};
      if (is_new) ++to_new;
    }
  }
  outcome.phase = move.state.phase;
  outcome.exposed_share =
      static_cast<double>(to_new) / static_cast<double>(all);
  return outcome;
}

}  // namespace

Test(version_move, a_healthy_version_completes_before_the_deadline) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const Outcome outcome = Simulate({}, 100, seed);
    cr_expect_eq(outcome.phase, MovePhase::kDone, "seed %u", seed);
    cr_expect_lt(outcome.decided_ms, kDurationMs);
  }
}

Test(version_move,
     a_version_that_fails_immediately_stays_within_the_exposure_limit) {
  for (const VersionFaults& faults :
       {VersionFaults{0.4, 0, 0}, VersionFaults{0, 0.6, 0}}) {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
      const Outcome outcome = Simulate(faults, 200, seed);
      cr_expect_eq(outcome.phase, MovePhase::kRolledBack, "seed %u", seed);
      cr_expect_lt(outcome.exposed_share, kMaxExposureShare, "seed %u", seed);
    }
  }
}

Test(version_move, a_version_that_fails_later_is_rolled_back) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const Outcome outcome = Simulate({0.5, 0, 8000}, 200, seed);
    cr_expect_eq(outcome.phase, MovePhase::kRolledBack, "seed %u", seed);
  }
}

Test(version_move, without_evidence_the_share_never_reaches_one) {
  VersionMove move = MakeMove();
  for (std::int64_t ms = 0; ms <= kDurationMs; ms += 500) {
    const auto next = NextState(move, {}, WallTime(kStartMs + ms));
    if (next) move.state = *next;
    cr_expect_lt(move.state.share, 1);
  }
  cr_expect_eq(move.state.phase, MovePhase::kRolledBack);
}

Test(version_move, a_retry_prefers_the_old_version_while_both_serve) {
  VersionMove move = MakeMove();
  cr_expect(RoutesToNewVersion(move, 0, false));
  cr_expect_not(RoutesToNewVersion(move, 0, true));
  move.state.share = 1;
  cr_expect(RoutesToNewVersion(move, 0, true));
}

namespace {

MoveEvidence MakeEvidence(RequestCounts old_errors, RequestCounts new_errors) {
  RouteEvidence seen;
  seen.old_errors = old_errors;
  seen.new_errors = new_errors;
  return {{RouteId("r"), seen}};
}

MoveState Finished(MovePhase phase) {
  MoveState state = MakeMove().state;
  state.phase = phase;
  return state;
}

const MoveEvidence kGood = MakeEvidence({}, {60, 0});
const MoveEvidence kBad = MakeEvidence({200, 0}, {60, 40});

}  // namespace

// Guards against a decision that leaves a service without servers.
Test(version_move, is_done_only_while_the_new_version_runs) {
  const MoveState done = Finished(MovePhase::kDone);
  for (const bool has_old : {false, true}) {
    cr_expect_not(
        CheckServers(MakeMove(), done, kGood, {has_old, false}).has_value());
    const auto next = CheckServers(MakeMove(), done, kGood, {has_old, true});
    cr_assert(next.has_value());
    cr_expect_eq(next->phase, MovePhase::kDone);
  }
}

Test(version_move, is_rolled_back_only_while_the_old_version_runs) {
  const MoveState rolled_back = Finished(MovePhase::kRolledBack);
  for (const bool has_new : {false, true}) {
    const auto next =
        CheckServers(MakeMove(), rolled_back, kGood, {true, has_new});
    cr_assert(next.has_value());
    cr_expect_eq(next->phase, MovePhase::kRolledBack);
  }
  cr_expect_not(
      CheckServers(MakeMove(), rolled_back, kGood, {false, false}).has_value());
  cr_expect_not(
      CheckServers(MakeMove(), rolled_back, {}, {false, true}).has_value());
  cr_expect_not(
      CheckServers(MakeMove(), rolled_back, kBad, {false, true}).has_value());
}

Test(version_move, is_done_late_if_only_a_good_new_version_is_left) {
  const auto next = CheckServers(MakeMove(), Finished(MovePhase::kRolledBack),
                                 kGood, {false, true});
  cr_assert(next.has_value());
  cr_expect_eq(next->phase, MovePhase::kDone);
  cr_expect_float_eq(next->share, 1, 1e-9);
}

Test(version_move, other_steps_need_no_servers) {
  MoveState raised = MakeMove().state;
  raised.share = 0.3;
  const auto next = CheckServers(MakeMove(), raised, {}, {});
  cr_assert(next.has_value());
  cr_expect_float_eq(next->share, 0.3, 1e-9);
}

Test(version_move, round_trips_through_its_encoding) {
  VersionMove move = MakeMove();
  move.state.reason = "why";
  const auto decoded = DecodeMove(EncodeMove(move));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded->order.to.Text(), "v2");
  cr_expect(decoded->order.revision == move.order.revision);
  cr_expect(decoded->origin == move.origin);
  cr_expect_eq(decoded->state.started.Count(), kStartMs);
  cr_expect_eq(decoded->state.reason, "why");
  cr_expect_not(DecodeMove("{}").has_value());
  cr_expect_not(DecodeMove("[").has_value());
}

namespace {

StorePosition At(std::uint64_t era, std::uint64_t version) {
  return {StoreEra(era), StoreVersion(version)};
}

MoveOrder MakeOrder(const StorePosition& revision) {
  MoveOrder order = MakeMove().order;
  order.revision = revision;
  return order;
}

VersionMove MakeMove(const StorePosition& origin, MovePhase phase,
                     double share) {
  VersionMove move = MoveOf(MakeOrder(origin));
  move.state.phase = phase;
  move.state.share = share;
  return move;
}

}  // namespace

Test(version_move, an_order_that_is_written_again_in_a_later_era_is_the_same) {
  const MoveOrder order = MakeOrder(At(1, 7));
  cr_expect(IsSameOrder(order, MakeOrder(At(1, 7))));
  cr_expect(IsSameOrder(order, MakeOrder(At(2, 7))));
  cr_expect(IsSameOrder(order, MakeOrder(At(2, 5))));
  cr_expect_not(IsSameOrder(order, MakeOrder(At(1, 8))));
}

Test(version_move, an_order_with_another_content_is_another_one) {
  const MoveOrder order = MakeOrder(At(1, 7));
  MoveOrder other = MakeOrder(At(2, 7));
  other.to = VersionId("v3");
  cr_expect_not(IsSameOrder(order, other));
  other = MakeOrder(At(2, 7));
  other.duration = Milliseconds(1);
  cr_expect_not(IsSameOrder(order, other));
  other = MakeOrder(At(2, 7));
  other.service = ServiceId("t");
  cr_expect_not(IsSameOrder(order, other));
}

Test(version_move, a_decision_is_kept_when_the_store_has_an_earlier_state) {
  const auto done = MakeMove(At(1, 7), MovePhase::kDone, 1);
  const auto reverted = MakeMove(At(1, 7), MovePhase::kRolledBack, 0);
  const auto full = MakeMove(At(2, 5), MovePhase::kWatching, 1);
  const auto trial = MakeMove(At(2, 5), MovePhase::kRunning, 0.08);
  for (const auto& decided : {done, reverted}) {
    for (const auto& stored : {full, trial}) {
      cr_expect(IsFurther(decided, stored));
      cr_expect_not(IsFurther(stored, decided));
    }
  }
  cr_expect(IsFurther(full, trial));
  cr_expect(IsFurther(MakeMove(At(1, 7), MovePhase::kRunning, 0.2), trial));
  cr_expect_not(IsFurther(done, done));
  auto other = trial;
  other.order.to = VersionId("v3");
  cr_expect_not(IsFurther(done, other));
  other = trial;
  other.order.revision = At(1, 8);
  cr_expect_not(IsFurther(done, other));
}

Test(version_move, of_equal_states_that_of_the_earlier_origin_is_kept) {
  const auto earlier = MakeMove(At(1, 7), MovePhase::kRunning, 0.08);
  const auto later = MakeMove(At(2, 5), MovePhase::kRunning, 0.08);
  cr_expect(IsFurther(earlier, later));
  cr_expect_not(IsFurther(later, earlier));
  const auto done = MakeMove(At(1, 7), MovePhase::kDone, 1);
  const auto reverted = MakeMove(At(2, 5), MovePhase::kRolledBack, 0);
  cr_expect(IsFurther(done, reverted));
  cr_expect_not(IsFurther(reverted, done));
}

Test(version_move, evidence_belongs_to_a_move_also_at_another_order_position) {
  VersionMove move = MakeMove(At(1, 7), MovePhase::kRunning, 0.08);
  const MoveId key = EvidenceKey(move);
  move.order.revision = At(2, 5);
  cr_expect(EvidenceKey(move) == key);
  cr_expect(IsEvidenceOf(move, key));
  cr_expect_not(IsEvidenceOf(MoveOf(MakeOrder(At(2, 5))), key));
}

Test(version_move, decodes_a_move_that_was_stored_without_its_era) {
  const auto move = DecodeMove(
      R"({"service":"s","to":"v2","duration_ms":15000,"revision":7,"phase":2,)"
      R"("share":1.0,"started_ms":5,"full_since_ms":6,"reason":"why"})");
  cr_assert(move.has_value());
  cr_expect(move->order.revision == At(0, 7));
  cr_expect(move->origin == At(0, 7));
  cr_expect(IsSameOrder(move->order, MakeOrder(At(3, 7))));
  cr_expect_not(IsSameOrder(move->order, MakeOrder(At(3, 8))));
}
