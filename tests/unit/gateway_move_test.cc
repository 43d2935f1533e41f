#include <rapidcheck.h>

#include <random>

#include "cowslipknot/gateway/version_move.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr double kExposure = 0.1;
constexpr std::int64_t kDurationMs = 15000;
constexpr std::int64_t kStartMs = 1000000;

VersionMove MakeMove() {
  VersionMove move;
  move.order = {ServiceId("s"), VersionId("v2"), Milliseconds(kDurationMs), 7};
  move.state = InitialState(kExposure, WallTime(kStartMs));
  return move;
}

/// How a simulated new version answers.
struct Behavior {
  double bad_share = 0;  ///< beside what the old version fails as well
  double slow_share = 0;
  std::int64_t from_ms = 0;  ///< harm begins so long after the order
};

struct Outcome {
  MovePhase phase = MovePhase::kRunning;
  double exposed = 0;  ///< part of all requests until the deadline
  std::uint64_t bad_seen = 0;
  std::int64_t decided_ms = 0;
};

/// Requests at a steady rate; decisions once a second on evidence that is a
/// second old.
Outcome Simulate(const Behavior& behavior, int per_second, std::uint32_t seed) {
  constexpr double kOldFailures = 0.05;
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
    for (int i = 0; i < per_second; ++i) {
      ++all;
      RouteEvidence& seen = evidence[RouteId(i % 3 == 0 ? "a" : "b")];
      const bool is_new =
          RoutesToNewVersion(move, random() * (1ULL << 32), false);
      const bool harmful = is_new && ms >= behavior.from_ms;
      const bool bad = draw(random) < kOldFailures ||
                       (harmful && draw(random) < behavior.bad_share);
      const bool slow = harmful && draw(random) < behavior.slow_share;
      (is_new ? seen.new_errors : seen.old_errors) +=
          RequestCounts{1, bad ? 1U : 0U};
      (is_new ? seen.new_slow : seen.old_slow) +=
          RequestCounts{1, slow ? 1U : 0U};
      if (is_new) ++to_new;
    }
  }
  outcome.phase = move.state.phase;
  outcome.exposed = static_cast<double>(to_new) / static_cast<double>(all);
  return outcome;
}

}  // namespace

Test(version_move, a_good_version_is_done_before_its_deadline) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const Outcome outcome = Simulate({}, 100, seed);
    cr_expect_eq(outcome.phase, MovePhase::kDone, "seed %u", seed);
    cr_expect_lt(outcome.decided_ms, kDurationMs);
  }
}

Test(version_move, a_version_that_fails_at_once_stays_within_its_exposure) {
  for (const Behavior& behavior : {Behavior{0.4, 0, 0}, Behavior{0, 0.6, 0}}) {
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
      const Outcome outcome = Simulate(behavior, 200, seed);
      cr_expect_eq(outcome.phase, MovePhase::kRolledBack, "seed %u", seed);
      cr_expect_lt(outcome.exposed, kExposure, "seed %u", seed);
    }
  }
}

Test(version_move, a_version_that_fails_later_is_taken_back) {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const Outcome outcome = Simulate({0.5, 0, 8000}, 200, seed);
    cr_expect_eq(outcome.phase, MovePhase::kRolledBack, "seed %u", seed);
  }
}

Test(version_move, without_answers_the_share_never_gets_full) {
  VersionMove move = MakeMove();
  for (std::int64_t ms = 0; ms <= kDurationMs; ms += 500) {
    const auto next = NextState(move, {}, WallTime(kStartMs + ms));
    if (next) move.state = *next;
    cr_expect_lt(move.state.share, 1);
  }
  cr_expect_eq(move.state.phase, MovePhase::kRolledBack);
}

Test(version_move, a_repeat_prefers_the_old_version_while_both_serve) {
  VersionMove move = MakeMove();
  cr_expect(RoutesToNewVersion(move, 0, false));
  cr_expect_not(RoutesToNewVersion(move, 0, true));
  move.state.share = 1;
  cr_expect(RoutesToNewVersion(move, 0, true));
}

Test(version_move, survives_its_encoding) {
  VersionMove move = MakeMove();
  move.state.reason = "why";
  const auto decoded = DecodeMove(EncodeMove(move));
  cr_assert(decoded.has_value());
  cr_expect_eq(decoded->order.to.Text(), "v2");
  cr_expect_eq(decoded->order.revision, 7u);
  cr_expect_eq(decoded->state.started.Count(), kStartMs);
  cr_expect_eq(decoded->state.reason, "why");
  cr_expect_not(DecodeMove("{}").has_value());
  cr_expect_not(DecodeMove("[").has_value());
}
