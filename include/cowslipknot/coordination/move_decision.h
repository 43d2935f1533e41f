#pragma once

#include <map>
#include <string>

#include "cowslipknot/coordination/sequential_test.h"
#include "cowslipknot/state/objects.h"

/// Decisions about moving traffic to a new version. The functions perform no
/// I/O and read no clock.
namespace cowslipknot {

/// Requests counted on one route, for the old and the new version.
struct RouteEvidence {
  RequestCounts old_errors;
  RequestCounts new_errors;
  RequestCounts old_slow;
  RequestCounts new_slow;
  /// Attempts sent, also those without a result.
  std::uint64_t old_sent = 0;
  std::uint64_t new_sent = 0;
  /// The new version's attempts since it got its current share.
  RequestCounts stage_errors;
  RequestCounts stage_slow;
  RouteEvidence& operator+=(const RouteEvidence& other);
};

using MoveEvidence = std::map<RouteId, RouteEvidence>;

/// Adds the evidence of one instance to a sum over instances.
void Accumulate(MoveEvidence& sum, const MoveEvidence& part);

enum class MoveAction : std::uint8_t {
  kHold,
  kRaise,
  kRollBack,
  kStartWatch,
  kComplete,
};

struct MoveDecision {
  MoveAction action = MoveAction::kHold;
  double share = 0;    ///< new share, with kRaise
  std::string reason;  ///< shown to operators; names the route with kRollBack
};

/// The share of traffic that the schedule allows at a time, regardless of
/// evidence.
///
/// Starts at the first share and doubles in equal time steps, so that the full
/// share is reached before 80% of the duration has passed.
double PlannedShare(const Move& move, const MoveState& state, WallTime now);

/// Decides the next step of a move from the evidence of all instances.
MoveDecision DecideMove(const Move& move, const MoveState& state,
                        const MoveEvidence& evidence, WallTime now);

/// Describes the first route on which the new version is significantly worse.
///
/// Each instance also applies this to its own evidence, to stop using the new
/// version without waiting for the other instances.
/// @return the reason to roll back, or an empty string
std::string FindRegressedRoute(const Move& move, const MoveEvidence& evidence);

/// Whether a request with this hash is within the new version's share.
bool IsInShare(std::uint64_t request_hash, double share);

}  // namespace cowslipknot
