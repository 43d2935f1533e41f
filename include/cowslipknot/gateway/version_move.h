#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/ids.h"

/// Moves of a service's traffic to a new version on a managed platform.
namespace cowslipknot::gateway {

/// What the operator asks for.
struct MoveOrder {
  ServiceId service;
  VersionId to;
  Milliseconds duration{0};
  std::uint64_t revision = 0;  ///< of the order's row; tells orders apart
  WallTime seen;               ///< by this instance first; on the shared clock
};

/// An order with what the lease's holder has decided about it.
struct VersionMove {
  MoveOrder order;
  MoveState state;  ///< times are of the shared clock
};

/// Names one order in evidence.
MoveId MoveKey(const MoveOrder& order);

/// The state in which a move begins.
/// @param exposure  part of the service's requests that a version which turns
///                  out bad may have had
MoveState FirstState(double exposure, WallTime now);

/// Decides a move's next step: a trial share for the first third, a part while
/// evidence shows no harm, then everything, and the end once requests that
/// began at old servers have finished. Pure.
/// @param evidence  of all instances
/// @return the new state, or none when nothing changes
std::optional<MoveState> NextState(const VersionMove& move,
                                   const MoveEvidence& evidence, WallTime now);

/// The reason to stop using the new version at once, or empty.
std::string FindHarm(const MoveOrder& order, const MoveEvidence& evidence);

/// Whether a request goes to the new version.
/// @param hash  of the request's id
/// @param repeat  it has failed at a server; the old version is then preferred
bool GoesToNew(const VersionMove& move, std::uint64_t hash, bool repeat);

std::string EncodeMove(const VersionMove& move);
/// @return none when the text is no move
std::optional<VersionMove> DecodeMove(std::string_view text);

}  // namespace cowslipknot::gateway
