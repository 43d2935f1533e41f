#pragma once

#include <map>

#include "coordination/configuration_manager.h"
#include "coordination/gossip_node.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/coordination/move_decision.h"

namespace cowslipknot {

/// Cumulative evidence for each start of a move, by EvidenceKey().
using EvidenceByMove = std::map<MoveId, MoveEvidence>;

std::string EncodeEvidence(const EvidenceByMove& evidence);
/// @return an empty map when the text is malformed
EvidenceByMove DecodeEvidence(const std::string& text);

/// The key of one start of a move. Each start has its own key, so that a move
/// that is started again does not inherit evidence.
MoveId EvidenceKey(const MoveId& move, WallTime started);

/// Advances moves and rolls back bad versions.
///
/// A rollback requires no agreement: an instance that sees the evidence stops
/// using the new version and gossips a rollback record. Advancing a move
/// requires the lease and a revision accepted by the table service. Runs on the
/// control thread.
class MoveController {
 public:
  MoveController(const Settings& settings, PlatformClient& platform,
                 RowWriter& rows, GossipNode& gossip,
                 ConfigurationManager& configuration_manager)
      : m_settings(settings),
        m_platform(platform),
        m_rows(rows),
        m_gossip(gossip),
        m_configuration_manager(configuration_manager),
        m_lease(settings.node, kLeaseDuration) {}

  /// Replaces the evidence of this instance's traffic, rolls back moves that it
  /// shows to be bad, and reports it to the lease holder.
  Awaitable<void> RecordLocalEvidence(EvidenceByMove evidence);

  /// Takes or renews the lease if this instance is a candidate, and decides the
  /// next step of each move while it holds the lease.
  Awaitable<void> Step();

  /// Handles an Evidence frame.
  PeerFrame Handle(const PeerFrame& frame);

  /// Keys of the starts of moves that were rolled back.
  std::set<MoveId> RolledBackMoves() const;

  /// Starts a move.
  /// @return the published revision; kRevisionConflict when another move of the
  ///         same service is running
  Awaitable<Result<Revision>> Start(MoveId move);
  /// Rolls back a running move on behalf of an operator.
  /// @return the published revision; kMoveDecided when the move has ended
  Awaitable<Result<Revision>> RollBack(MoveId move, std::string reason);

  bool HoldsLease() const { return m_lease.MayAct(SteadyClock::now()); }
  /// Evidence reported to this instance: of all instances at the lease holder,
  /// elsewhere only the local evidence.
  MoveEvidence EvidenceOf(const MoveId& key) const;

 private:
  static constexpr Milliseconds kLeaseDuration{3000};

  bool IsCandidate() const;
  bool AnyActive() const;
  Awaitable<void> MaintainLease();
  Awaitable<void> DecideMoves();
  Awaitable<Result<Revision>> PublishState(MoveId move, MoveState state);
  void PublishRollback(const MoveId& key, const std::string& reason);
  NodeId LeaseHolder() const;

  const Settings& m_settings;
  PlatformClient& m_platform;
  RowWriter& m_rows;
  GossipNode& m_gossip;
  ConfigurationManager& m_configuration_manager;
  LeaseView m_lease;
  EvidenceByMove m_local_evidence;
  std::map<NodeId, EvidenceByMove> m_evidence_by_node;
  std::string m_last_report;
  NodeId m_last_report_target;
  SteadyClock::time_point m_last_report_at{};
};

}  // namespace cowslipknot
