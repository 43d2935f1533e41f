#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

/// Moves: the gradual shift of a service's traffic to a new version on a
/// managed platform.
namespace cowslipknot::gateway {

/// An operator's request to move a service to a new version.
struct MoveOrder {
  ServiceId service;
  VersionId to;  ///< target version
  Milliseconds duration{0};
  StorePosition revision;  ///< of the order's row
  WallTime first_seen;     ///< when first read here, on the shared clock
};

/// Whether two orders are the same one. In one era of the store, another row is
/// another order. Across a restore from a copy, the operator writes a lost
/// order again at another position, so that its content identifies it.
bool IsSameOrder(const MoveOrder& known, const MoveOrder& order);

/// An order and its state as decided by the lease holder.
struct VersionMove {
  MoveOrder order;
  StorePosition origin;  ///< of the order's row when the move began
  MoveState state;       ///< times are on the shared clock
};

/// The move of an order before the first decision.
VersionMove MoveOf(const MoveOrder& order);

/// Whether `known` is the same order as `stored` in a further advanced state,
/// so that the store has lost a decision. Of two final states, and of equal
/// ones, that of the earlier origin was decided first.
bool IsFurther(const VersionMove& known, const VersionMove& stored);

/// Whether a phase is the end of a move.
bool IsFinished(MovePhase phase);

/// Whether the new version is neither in use nor rolled back.
bool IsUndecided(const VersionMove& move);

/// How many requests a version may get before it is known to be good.
struct ExposureBound {
  double share = 0.1;  ///< of the requests to its service during the order
  double slack = 50;   ///< additional requests
};

/// Identifies a move, also after a restore of the store.
MoveId MoveKey(const VersionMove& move);

/// The key of the evidence of attempts that are sent while the new version has
/// its current share. Evidence of each share is kept apart, so that a version
/// that turns bad later is not covered by its earlier results.
MoveId EvidenceKey(const VersionMove& move);
/// Whether evidence belongs to the move.
bool IsEvidenceOf(const VersionMove& move, const MoveId& key);
/// Sums up the evidence of a move over its shares.
MoveEvidence SumStages(const VersionMove& move,
                       const std::map<MoveId, MoveEvidence>& evidence);

/// The initial state of a move.
/// @param exposure  maximum fraction of the service's requests that may reach a
///                  version that turns out to be bad
MoveState InitialState(double exposure, WallTime now);

/// Decides the next step of a move. The new version receives a trial share,
/// then a larger one, then all requests, each only while its results so far
/// show no harm and, below the full share, as far as the bound allows for what
/// has been sent. The move is done when the remaining requests at old servers
/// have had time to finish. It is rolled back when the evidence shows a
/// regression, or when the evidence is still insufficient at the end of the
/// duration.
///
/// Performs no I/O and reads no clock.
/// @param evidence  sum over all instances
/// @return the new state, or nothing when the state does not change
std::optional<MoveState> NextState(const VersionMove& move,
                                   const MoveEvidence& evidence, WallTime now,
                                   const ExposureBound& bound = {});

/// Which versions of a service have servers that run.
struct RunningVersions {
  bool has_old = false;  ///< any version but the new one
  bool has_new = false;
};

/// Checks a step against the servers that run. The end of a move can't be
/// undone: the platform stops the servers of the version that it decides
/// against, and a decision that the store has lost may have stopped the others
/// before.
///
/// A move is done only while servers of the new version run, and rolled back
/// only while others do. If only the new version is left, a move that was not
/// decided in time is done once the results are good.
/// @param next  the step by the evidence
/// @return the step to take; nothing if the move stays undecided for now
std::optional<MoveState> CheckServers(const VersionMove& move,
                                      const MoveState& next,
                                      const MoveEvidence& evidence,
                                      const RunningVersions& running);

/// Describes a regression of the new version, on one route or over all routes.
/// @return the reason to roll back, or an empty string
std::string FindRegression(const MoveOrder& order,
                           const MoveEvidence& evidence);

/// The state after a rollback.
MoveState RolledBack(MoveState state, std::string reason);

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
