#pragma once

#include <map>
#include <string>

#include "cowslipknot/coordination/sequential_test.h"
#include "cowslipknot/state/objects.h"

/// Decisions about moving traffic to a new version. All functions are pure.
namespace cowslipknot {

/// What was seen of both versions on one route.
struct RouteEvidence {
  Tally old_errors;
  Tally new_errors;
  Tally old_slow;
  Tally new_slow;
  RouteEvidence& operator+=(const RouteEvidence& other);
};

using MoveEvidence = std::map<RouteId, RouteEvidence>;

/// Sums evidence of several instances.
void Accumulate(MoveEvidence& sum, const MoveEvidence& part);

enum class MoveAction : std::uint8_t {
  kHold,
  kRaise,
  kTakeBack,
  kStartWatch,
  kComplete,
};

struct MoveDecision {
  MoveAction action = MoveAction::kHold;
  double share = 0;    ///< with kRaise
  std::string reason;  ///< for operators; with kTakeBack names the route
};

/// The share of traffic that the plan allows at a time, before evidence.
///
/// Doubles from the first share so that full share is reached with a fifth of
/// the duration to spare.
double PlannedShare(const Move& move, const MoveState& state, WallTime now);

/// Decides the next step of a move from what all instances have seen.
MoveDecision DecideMove(const Move& move, const MoveState& state,
                        const MoveEvidence& evidence, WallTime now);

/// The reason to stop using the new version at once, if there is one. Each
/// instance applies it to its own evidence.
std::string FindBadRoute(const Move& move, const MoveEvidence& evidence);

/// Whether a request with this hash goes to the new version.
bool InShare(std::uint64_t request_hash, double share);

}  // namespace cowslipknot
