#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/ids.h"

/// Moves: the gradual shift of a service's traffic to a new version on a
/// managed platform.
namespace cowslipknot::gateway {

/// An operator's request to move a service to a new version.
struct MoveOrder {
  ServiceId service;
  VersionId to;  ///< target version
  Milliseconds duration{0};
  std::uint64_t revision = 0;  ///< of the order's row; identifies the order
  WallTime first_seen;         ///< when first read here, on the shared clock
};

/// An order and its state as decided by the lease holder.
struct VersionMove {
  MoveOrder order;
  MoveState state;  ///< times are on the shared clock
};

/// The key of an order in evidence.
MoveId MoveKey(const MoveOrder& order);

/// The initial state of a move.
/// @param exposure  maximum fraction of the service's requests that may reach a
///                  version that turns out to be bad
MoveState InitialState(double exposure, WallTime now);

/// Decides the next step of a move. The new version receives a trial share for
/// the first third of the duration, then a larger share, and all requests in
/// the second half if enough requests were answered. The move is done when the
/// remaining requests at old servers have had time to finish. It is rolled back
/// when the evidence shows a regression, or when the evidence is still
/// insufficient at the end of the duration.
///
/// Performs no I/O and reads no clock.
/// @param evidence  sum over all instances
/// @return the new state, or nothing when the state does not change
std::optional<MoveState> NextState(const VersionMove& move,
                                   const MoveEvidence& evidence, WallTime now);

/// Describes a regression of the new version, on one route or over all routes.
/// @return the reason to roll back, or an empty string
std::string FindRegression(const MoveOrder& order,
                           const MoveEvidence& evidence);

/// Whether a request goes to the new version.
/// @param hash    hash of the request id
/// @param repeat  the request failed at a server and is retried; it then
///                uses the old version unless the new one has the full share
bool RoutesToNewVersion(const VersionMove& move, std::uint64_t hash,
                        bool repeat);

std::string EncodeMove(const VersionMove& move);
/// @return nothing when the text is malformed
std::optional<VersionMove> DecodeMove(std::string_view text);

}  // namespace cowslipknot::gateway
