#include "cowslipknot/gateway/version_move.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot::gateway {
namespace {

/// Fraction of the tolerated exposure that the trial share uses.
constexpr double kTrialExposureFraction = 0.8;
/// Fractions of the duration after which the share is raised.
constexpr double kTrialEndFraction = 0.35;
constexpr double kPartialEndFraction = 0.6;
/// Largest share of the requests between these two times, the part of the
/// duration for which it is planned at least, and the smallest increase.
constexpr double kMaxPartialShare = 0.3;
constexpr double kMinPartialFraction = 0.1;
constexpr double kMinIncrease = 1.3;
/// Part of the exposure bound's slack that is used below the full share. The
/// rest covers requests that are sent on decisions that have not arrived yet.
constexpr double kUsedSlackFraction = 0.6;
/// Time at the full share until harm is known to all instances. Requests of
/// that time are kept back from what the smaller shares may use.
constexpr double kDetectionMs = 1200;
/// Fraction of the duration after which the move is done, so that the remaining
/// requests at old servers have most of the second half to finish.
constexpr double kFinishFraction = 0.85;
/// Minimum number of responses from the new version before it gets the full
/// share.
constexpr std::uint64_t kMinAnswers = 30;
/// Requests planned for these responses; some are still running.
constexpr double kPlannedAnswers = 40;
/// Margins for the comparison with the old version: excess share of failed
/// requests, and of responses several times slower than predicted, that counts
/// as a regression.
constexpr double kErrorExcessShare = 0.08;
constexpr double kSlowExcessShare = 0.25;

/// Shares that differ by less are equal.
constexpr double kShareResolution = 0.001;

/// Separates an order from a stage in the keys of evidence.
constexpr char kStageSeparator = '#';

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
  for (const auto& [route, seen] : evidence)
    answers += std::max(seen.new_errors.total, seen.new_slow.total);
  return answers;
}

/// The evidence in which only the results at the current share count for the
/// new version.
MoveEvidence OfStage(const MoveEvidence& evidence) {
  MoveEvidence stage = evidence;
  for (auto& [route, seen] : stage) {
    seen.new_errors = seen.stage_errors;
    seen.new_slow = seen.stage_slow;
  }
  return stage;
}

RouteEvidence SumRoutes(const MoveEvidence& evidence) {
  RouteEvidence sum;
  for (const auto& [route, seen] : evidence) sum += seen;
  return sum;
}

std::string FindRegressionIn(const MoveOrder& order,
                             const MoveEvidence& evidence) {
  std::string regression = FindRegressedRoute(RollbackCriteria(), evidence);
  if (!regression.empty()) return regression;
  // A regression that affects many routes slightly becomes significant in their
  // sum before it does on any single route.
  const RouteId all("(all of " + order.service.Text() + ")");
  return FindRegressedRoute(RollbackCriteria(), {{all, SumRoutes(evidence)}});
}

double RateExcess(const RequestCounts& old_counts,
                  const RequestCounts& new_counts) {
  if (new_counts.total == 0) return 0;
  const auto rate = [](const RequestCounts& counts) {
    return counts.total == 0 ? 0
                             : static_cast<double>(counts.bad) /
                                   static_cast<double>(counts.total);
  };
  return rate(new_counts) - rate(old_counts);
}

/// Whether the new version's results so far give no reason to wait for more.
bool LooksGood(const MoveEvidence& evidence) {
  const RouteEvidence sum = SumRoutes(evidence);
  return RateExcess(sum.old_errors, sum.new_errors) < kErrorExcessShare &&
         RateExcess(sum.old_slow, sum.new_slow) < kSlowExcessShare / 2;
}

/// Whether the results suffice to give the new version all requests.
bool IsProvenGood(const MoveEvidence& evidence) {
  return CountNewAnswers(evidence) >= kMinAnswers && LooksGood(evidence);
}

/// The share that the new version may have until the full one, given what has
/// been sent.
double PartialShare(const VersionMove& move, const MoveEvidence& evidence,
                    double elapsed, const ExposureBound& bound) {
  const RouteEvidence sum = SumRoutes(evidence);
  const auto sent = static_cast<double>(sum.old_sent + sum.new_sent);
  const double expected = sent / elapsed;  // during the order
  const double unused = bound.share * expected +
                        kUsedSlackFraction * bound.slack -
                        static_cast<double>(sum.new_sent);
  const auto duration = static_cast<double>(move.order.duration.count());
  const double kept_back = expected * kDetectionMs / duration;
  const double until_full =
      expected * std::max(kMinPartialFraction, kPartialEndFraction - elapsed);
  if (until_full <= 0) return kMaxPartialShare;
  // Without enough responses no share is safe, so these come first.
  const double missing = kPlannedAnswers - static_cast<double>(sum.new_sent);
  const double usable = std::max(unused - kept_back, std::min(unused, missing));
  return std::min(usable / until_full, kMaxPartialShare);
}

}  // namespace

bool IsFinished(MovePhase phase) {
  return phase == MovePhase::kDone || phase == MovePhase::kRolledBack;
}

bool IsSameOrder(const MoveOrder& known, const MoveOrder& order) {
  const bool same_content = known.service == order.service &&
                            known.to == order.to &&
                            known.duration == order.duration;
  if (!same_content) return false;
  const bool same_version = known.revision.version == order.revision.version;
  // A move that was stored without its era is compared as before.
  if (known.revision.era == StoreEra(0)) return same_version;
  return same_version || known.revision.era != order.revision.era;
}

VersionMove MoveOf(const MoveOrder& order) {
  VersionMove move;
  move.order = order;
  move.origin = order.revision;
  return move;
}

bool IsFurther(const VersionMove& known, const VersionMove& stored) {
  if (!IsSameOrder(known.order, stored.order)) return false;
  const bool is_known_final = IsFinished(known.state.phase);
  const bool is_stored_final = IsFinished(stored.state.phase);
  if (is_known_final != is_stored_final) return is_known_final;
  if (!is_known_final) {
    if (known.state.phase != stored.state.phase)
      return known.state.phase > stored.state.phase;
    const double raised = known.state.share - stored.state.share;
    if (std::abs(raised) >= kShareResolution) return raised > 0;
  }
  return known.origin < stored.origin;
}

MoveId MoveKey(const VersionMove& move) {
  return MoveId(move.order.service.Text() + "@" + FormatPosition(move.origin));
}

MoveState InitialState(double exposure, WallTime now) {
  MoveState state;
  state.share = exposure * kTrialExposureFraction;
  state.started = now;
  state.reason = "trial";
  return state;
}

bool IsUndecided(const VersionMove& move) {
  return !IsFinished(move.state.phase);
}

MoveState RolledBack(MoveState state, std::string reason) {
  state.phase = MovePhase::kRolledBack;
  state.share = 0;
  state.reason = std::move(reason);
  return state;
}

MoveId EvidenceKey(const VersionMove& move) {
  const auto share = static_cast<int>(move.state.share * 1000);
  return MoveId(MoveKey(move).Text() + kStageSeparator + std::to_string(share));
}

bool IsEvidenceOf(const VersionMove& move, const MoveId& key) {
  return key.Text().starts_with(MoveKey(move).Text() + kStageSeparator);
}

MoveEvidence SumStages(const VersionMove& move,
                       const std::map<MoveId, MoveEvidence>& evidence) {
  MoveEvidence sum;
  for (const auto& [key, routes] : evidence) {
    if (!IsEvidenceOf(move, key)) continue;
    const bool is_current = key == EvidenceKey(move);
    for (const auto& [route, seen] : routes) {
      sum[route] += seen;
      if (!is_current) continue;
      sum[route].stage_errors += seen.new_errors;
      sum[route].stage_slow += seen.new_slow;
    }
  }
  return sum;
}

std::string FindRegression(const MoveOrder& order,
                           const MoveEvidence& evidence) {
  std::string regression = FindRegressionIn(order, evidence);
  if (!regression.empty()) return regression;
  return FindRegressionIn(order, OfStage(evidence));
}

std::optional<MoveState> NextState(const VersionMove& move,
                                   const MoveEvidence& evidence, WallTime now,
                                   const ExposureBound& bound) {
  MoveState next = move.state;
  if (IsFinished(next.phase)) return std::nullopt;
  const std::string regression = FindRegression(move.order, evidence);
  if (!regression.empty()) return RolledBack(next, regression);
  const double elapsed = ElapsedFraction(move, now);
  const bool good = IsProvenGood(evidence);
  const bool watching = next.phase == MovePhase::kWatching;
  if (watching && elapsed >= kFinishFraction && good) {
    next.phase = MovePhase::kDone;
    next.reason = "no harm seen";
    return next;
  }
  if (elapsed >= 1) return RolledBack(next, "too little evidence in time");
  if (watching) return std::nullopt;
  if (elapsed >= kPartialEndFraction && good) {
    next.phase = MovePhase::kWatching;
    next.share = 1;
    next.full_since = now;
    next.reason = "no harm at a part of the requests";
    return next;
  }
  if (elapsed < kTrialEndFraction || !LooksGood(evidence)) return std::nullopt;
  const double partial = PartialShare(move, evidence, elapsed, bound);
  if (partial < kMinIncrease * next.share) return std::nullopt;
  next.share = partial;
  next.reason = "no harm at the trial share";
  return next;
}

std::optional<MoveState> CheckServers(const VersionMove& move,
                                      const MoveState& next,
                                      const MoveEvidence& evidence,
                                      const RunningVersions& running) {
  if (next.phase == MovePhase::kDone && !running.has_new) return std::nullopt;
  if (next.phase != MovePhase::kRolledBack || running.has_old) return next;
  const bool is_regressed = !FindRegression(move.order, evidence).empty();
  if (!running.has_new || is_regressed || !IsProvenGood(evidence))
    return std::nullopt;
  MoveState done = move.state;
  done.phase = MovePhase::kDone;
  done.share = 1;
  done.reason = "only servers of the new version are left";
  return done;
}

bool RoutesToNewVersion(const VersionMove& move, std::uint64_t hash,
                        bool repeat) {
  const double share = move.state.share;
  if (repeat && share < 1) return false;
  return IsInShare(hash, share);
}

}  // namespace cowslipknot::gateway
