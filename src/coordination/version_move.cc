#include "cowslipknot/gateway/version_move.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// Part of the tolerated exposure that the trial share takes.
constexpr double kTrialPart = 0.8;
/// Parts of the duration after which the share is raised.
constexpr double kTrialEnds = 0.35;
constexpr double kPartialEnds = 0.5;
constexpr double kPartialShare = 0.3;
/// Part of the duration at which the move is finished, so that the last
/// requests at old servers have most of the second half to end.
constexpr double kFinish = 0.85;
/// Answers of the new version without which it gets no full share.
constexpr std::uint64_t kLeastAnswers = 30;
/// Excess over the old version's share of failures, or of answers several
/// times slower than predicted, that is harm.
constexpr double kBadErrorShare = 0.08;
constexpr double kBadSlowShare = 0.25;

double PartOf(const VersionMove& move, WallTime now) {
  const auto passed =
      std::max<std::int64_t>(0, now.Count() - move.state.started.Count());
  return static_cast<double>(passed) /
         static_cast<double>(
             std::max<Milliseconds::rep>(1, move.order.duration.count()));
}

Move Criteria() {
  Move criteria;
  criteria.bad_error_share = kBadErrorShare;
  criteria.bad_slow_share = kBadSlowShare;
  return criteria;
}

std::uint64_t NewAnswers(const MoveEvidence& evidence) {
  std::uint64_t answers = 0;
  for (const auto& [route, seen] : evidence) answers += seen.new_errors.seen;
  return answers;
}

bool IsDecided(MovePhase phase) {
  return phase == MovePhase::kDone || phase == MovePhase::kTakenBack;
}

}  // namespace

MoveId MoveKey(const MoveOrder& order) {
  return MoveId(order.service.Text() + "@" + std::to_string(order.revision));
}

MoveState FirstState(double exposure, WallTime now) {
  MoveState state;
  state.share = exposure * kTrialPart;
  state.started = now;
  state.reason = "trial";
  return state;
}

std::string FindHarm(const MoveOrder& order, const MoveEvidence& evidence) {
  std::string harm = FindBadRoute(Criteria(), evidence);
  if (!harm.empty()) return harm;
  // Harm spread thinly over routes shows in their sum first.
  MoveEvidence sum;
  RouteEvidence& all = sum[RouteId("(all of " + order.service.Text() + ")")];
  for (const auto& [route, seen] : evidence) all += seen;
  return FindBadRoute(Criteria(), sum);
}

std::optional<MoveState> NextState(const VersionMove& move,
                                   const MoveEvidence& evidence, WallTime now) {
  MoveState next = move.state;
  if (IsDecided(next.phase)) return std::nullopt;
  const std::string harm = FindHarm(move.order, evidence);
  if (!harm.empty()) {
    next.phase = MovePhase::kTakenBack;
    next.share = 0;
    next.reason = harm;
    return next;
  }
  const double passed = PartOf(move, now);
  const bool answered = NewAnswers(evidence) >= kLeastAnswers;
  if (next.phase == MovePhase::kWatching) {
    if (passed < kFinish) return std::nullopt;
    next.phase = MovePhase::kDone;
    next.reason = "no harm seen";
    return next;
  }
  if (passed >= 1) {
    next.phase = MovePhase::kTakenBack;
    next.share = 0;
    next.reason = "too little evidence in time";
    return next;
  }
  if (passed >= kPartialEnds && answered) {
    next.phase = MovePhase::kWatching;
    next.share = 1;
    next.full_since = now;
    next.reason = "no harm at a part of the requests";
    return next;
  }
  if (passed >= kTrialEnds && next.share < kPartialShare) {
    next.share = kPartialShare;
    next.reason = "no harm at the trial share";
    return next;
  }
  return std::nullopt;
}

bool GoesToNew(const VersionMove& move, std::uint64_t hash, bool repeat) {
  const double share = move.state.share;
  if (repeat && share < 1) return false;
  return InShare(hash, share);
}

}  // namespace cowslipknot::gateway
