#include "cowslipknot/gateway/version_move.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// Fraction of the tolerated exposure that the trial share uses.
constexpr double kTrialExposureFraction = 0.8;
/// Fractions of the duration after which the share is raised.
constexpr double kTrialEndFraction = 0.35;
constexpr double kPartialEndFraction = 0.5;
/// Share of the requests between these two times.
constexpr double kPartialShare = 0.3;
/// Fraction of the duration after which the move is done, so that the remaining
/// requests at old servers have most of the second half to finish.
constexpr double kFinishFraction = 0.85;
/// Minimum number of responses from the new version before it gets the full
/// share.
constexpr std::uint64_t kMinAnswers = 30;
/// Margins for the comparison with the old version: excess share of failed
/// requests, and of responses several times slower than predicted, that counts
/// as a regression.
constexpr double kErrorExcessShare = 0.08;
constexpr double kSlowExcessShare = 0.25;

double ElapsedFraction(const VersionMove& move, WallTime now) {
  const auto elapsed =
      std::max<std::int64_t>(0, now.Count() - move.state.started.Count());
  return static_cast<double>(elapsed) /
         static_cast<double>(
             std::max<Milliseconds::rep>(1, move.order.duration.count()));
}

Move RollbackCriteria() {
  Move criteria;
  criteria.bad_error_share = kErrorExcessShare;
  criteria.bad_slow_share = kSlowExcessShare;
  return criteria;
}

std::uint64_t CountNewAnswers(const MoveEvidence& evidence) {
  std::uint64_t answers = 0;
  for (const auto& [route, seen] : evidence) answers += seen.new_errors.total;
  return answers;
}

bool IsFinished(MovePhase phase) {
  return phase == MovePhase::kDone || phase == MovePhase::kRolledBack;
}

}  // namespace

MoveId MoveKey(const MoveOrder& order) {
  return MoveId(order.service.Text() + "@" + std::to_string(order.revision));
}

MoveState InitialState(double exposure, WallTime now) {
  MoveState state;
  state.share = exposure * kTrialExposureFraction;
  state.started = now;
  state.reason = "trial";
  return state;
}

std::string FindRegression(const MoveOrder& order,
                           const MoveEvidence& evidence) {
  std::string regression = FindRegressedRoute(RollbackCriteria(), evidence);
  if (!regression.empty()) return regression;
  // A regression that affects many routes slightly becomes significant in their
  // sum before it does on any single route.
  MoveEvidence sum;
  RouteEvidence& all = sum[RouteId("(all of " + order.service.Text() + ")")];
  for (const auto& [route, seen] : evidence) all += seen;
  return FindRegressedRoute(RollbackCriteria(), sum);
}

std::optional<MoveState> NextState(const VersionMove& move,
                                   const MoveEvidence& evidence, WallTime now) {
  MoveState next = move.state;
  if (IsFinished(next.phase)) return std::nullopt;
  const std::string regression = FindRegression(move.order, evidence);
  if (!regression.empty()) {
    next.phase = MovePhase::kRolledBack;
    next.share = 0;
    next.reason = regression;
    return next;
  }
  const double elapsed = ElapsedFraction(move, now);
  const bool enough_answers = CountNewAnswers(evidence) >= kMinAnswers;
  if (next.phase == MovePhase::kWatching) {
    if (elapsed < kFinishFraction) return std::nullopt;
    next.phase = MovePhase::kDone;
    next.reason = "no harm seen";
    return next;
  }
  if (elapsed >= 1) {
    next.phase = MovePhase::kRolledBack;
    next.share = 0;
    next.reason = "too little evidence in time";
    return next;
  }
  if (elapsed >= kPartialEndFraction && enough_answers) {
    next.phase = MovePhase::kWatching;
    next.share = 1;
    next.full_since = now;
    next.reason = "no harm at a part of the requests";
    return next;
  }
  if (elapsed >= kTrialEndFraction && next.share < kPartialShare) {
    next.share = kPartialShare;
    next.reason = "no harm at the trial share";
    return next;
  }
  return std::nullopt;
}

bool RoutesToNewVersion(const VersionMove& move, std::uint64_t hash,
                        bool repeat) {
  const double share = move.state.share;
  if (repeat && share < 1) return false;
  return IsInShare(hash, share);
}

}  // namespace cowslipknot::gateway
