#include "cowslipknot/coordination/move_decision.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowslipknot {
namespace {

/// Bound on the probability of a wrong verdict, per route and criterion.
constexpr double kAlpha = 0.005;
constexpr double kRaiseFactor = 2.0;
/// Smaller increases are deferred, since each one publishes a revision.
constexpr double kMinRaiseFactor = 1.2;
/// Fraction of the duration in which the schedule reaches the full share.
constexpr double kRampFraction = 0.8;
constexpr double kFullShare = 1.0;

std::string DescribeRates(const RouteId& route, const std::string& what,
                          const RequestCounts& old_counts,
                          const RequestCounts& new_counts) {
  return "route " + route.Text() + ": " + std::to_string(new_counts.bad) +
         " of " + std::to_string(new_counts.total) + " " + what +
         " on the new version, " + std::to_string(old_counts.bad) + " of " +
         std::to_string(old_counts.total) + " on the old";
}

struct RouteVerdicts {
  Verdict errors;
  Verdict slow;
};

RouteVerdicts CompareVersions(const Move& move, const RouteEvidence& seen) {
  return {
      CompareRates(seen.old_errors, seen.new_errors, move.bad_error_share,
                   kAlpha),
      CompareRates(seen.old_slow, seen.new_slow, move.bad_slow_share, kAlpha)};
}

/// The largest share at which the new version's additional bad requests, by the
/// upper bound of its excess rate, are at most `margin` of all requests.
double ShareForExcess(const RequestCounts& old_counts,
                      const RequestCounts& new_counts, double margin) {
  const double excess = BoundExcess(old_counts, new_counts, kAlpha);
  if (excess <= margin) return kFullShare;
  return margin / excess;
}

/// The largest share that the evidence of all routes allows.
double AllowedShare(const Move& move, const MoveEvidence& evidence) {
  if (evidence.empty()) return 0;
  double allowed = kFullShare;
  for (const auto& [route, seen] : evidence) {
    allowed = std::min(allowed, ShareForExcess(seen.old_errors, seen.new_errors,
                                               move.bad_error_share));
    allowed = std::min(allowed, ShareForExcess(seen.old_slow, seen.new_slow,
                                               move.bad_slow_share));
  }
  return allowed;
}

std::int64_t ElapsedMs(WallTime since, WallTime now) {
  return std::max<std::int64_t>(0, now.Count() - since.Count());
}

}  // namespace

RouteEvidence& RouteEvidence::operator+=(const RouteEvidence& other) {
  old_errors += other.old_errors;
  new_errors += other.new_errors;
  old_slow += other.old_slow;
  new_slow += other.new_slow;
  old_sent += other.old_sent;
  new_sent += other.new_sent;
  stage_errors += other.stage_errors;
  stage_slow += other.stage_slow;
  return *this;
}

void Accumulate(MoveEvidence& sum, const MoveEvidence& part) {
  for (const auto& [route, seen] : part) sum[route] += seen;
}

std::string FindRegressedRoute(const Move& move, const MoveEvidence& evidence) {
  for (const auto& [route, seen] : evidence) {
    const RouteVerdicts verdicts = CompareVersions(move, seen);
    if (verdicts.errors == Verdict::kBad) {
      return DescribeRates(route, "failed", seen.old_errors, seen.new_errors);
    }
    if (verdicts.slow == Verdict::kBad) {
      return DescribeRates(route, "slow", seen.old_slow, seen.new_slow);
    }
  }
  return {};
}

double PlannedShare(const Move& move, const MoveState& state, WallTime now) {
  const double steps = std::ceil(std::log2(kFullShare / move.first_share)) + 1;
  const double step_ms =
      static_cast<double>(move.duration.count()) * kRampFraction / steps;
  const double elapsed_steps =
      std::floor(static_cast<double>(ElapsedMs(state.started, now)) / step_ms);
  return std::min(kFullShare,
                  move.first_share * std::pow(kRaiseFactor, elapsed_steps));
}

MoveDecision DecideMove(const Move& move, const MoveState& state,
                        const MoveEvidence& evidence, WallTime now) {
  if (state.phase == MovePhase::kDone ||
      state.phase == MovePhase::kRolledBack) {
    return {};
  }
  const std::string bad = FindRegressedRoute(move, evidence);
  if (!bad.empty()) return {MoveAction::kRollBack, 0, bad};
  if (state.phase == MovePhase::kWatching) {
    const bool watched =
        ElapsedMs(state.full_since, now) >= move.watch_period.count();
    if (!watched) return {};
    return {MoveAction::kComplete, kFullShare, "watched at full share"};
  }
  const bool late = ElapsedMs(state.started, now) >= move.duration.count();
  const double allowed = AllowedShare(move, evidence);
  const bool proven = allowed >= kFullShare;
  if (state.share >= kFullShare) {
    if (proven) return {MoveAction::kStartWatch, kFullShare, "full share"};
    if (late) return {MoveAction::kRollBack, 0, "too little evidence in time"};
    return {};
  }
  if (late) return {MoveAction::kRollBack, 0, "too little evidence in time"};
  const double next = std::min(
      {state.share * kRaiseFactor, PlannedShare(move, state, now), allowed});
  if (next < state.share * kMinRaiseFactor) return {};
  return {MoveAction::kRaise, next, "evidence suffices"};
}

bool IsInShare(std::uint64_t request_hash, double share) {
  constexpr double kRange =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return static_cast<double>(request_hash) < share * kRange;
}

}  // namespace cowslipknot
