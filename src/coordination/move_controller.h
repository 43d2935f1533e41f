#pragma once

#include <map>

#include "coordination/configuration_keeper.h"
#include "coordination/peer_mesh.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/coordination/move_decision.h"

namespace cowslipknot {

/// Evidence by start of a move, cumulative.
using EvidenceByMove = std::map<MoveId, MoveEvidence>;

std::string EncodeEvidence(const EvidenceByMove& evidence);
/// @return empty when the text is malformed
EvidenceByMove DecodeEvidence(const std::string& text);

/// Names one start of a move, so that a later start begins without evidence.
MoveId EvidenceKey(const MoveId& move, WallTime started);

/// Steps moves forward and takes bad ones back.
///
/// Taking back needs no agreement: an instance that sees the evidence stops
/// using the version and spreads a mark. Going forward needs the lease and a
/// revision accepted by the table service. Runs on the control thread.
class MoveController {
 public:
  MoveController(const Settings& settings, PlatformClient& platform,
                 RowWriter& rows, PeerMesh& mesh, ConfigurationKeeper& keeper)
      : m_settings(settings),
        m_platform(platform),
        m_rows(rows),
        m_mesh(mesh),
        m_keeper(keeper),
        m_lease(settings.node, kLeaseDuration) {}

  /// Applies what this instance's traffic has seen, and reports it to the
  /// holder of the lease.
  Awaitable<void> NoteLocalEvidence(EvidenceByMove evidence);

  /// Takes or renews the lease when it is this instance's turn, and decides
  /// the next step of each move.
  Awaitable<void> Step();

  /// Answers an Evidence frame.
  PeerFrame Handle(const PeerFrame& frame);

  /// Starts that are marked as taken back.
  std::set<MoveId> TakenBack() const;

  Awaitable<Result<Revision>> Start(MoveId move);
  Awaitable<Result<Revision>> TakeBack(MoveId move, std::string reason);

  bool HoldsLease() const { return m_lease.MayAct(SteadyClock::now()); }
  /// What the holder of the lease knows; elsewhere only local evidence.
  MoveEvidence EvidenceOf(const MoveId& key) const;

 private:
  static constexpr Milliseconds kLeaseDuration{3000};

  bool IsCandidate() const;
  bool AnyActive() const;
  Awaitable<void> MaintainLease();
  Awaitable<void> DecideAll();
  Awaitable<Result<Revision>> PublishState(MoveId move, MoveState state);
  void MarkTakenBack(const MoveId& key, const std::string& reason);
  NodeId LeaseHolder() const;

  const Settings& m_settings;
  PlatformClient& m_platform;
  RowWriter& m_rows;
  PeerMesh& m_mesh;
  ConfigurationKeeper& m_keeper;
  LeaseView m_lease;
  EvidenceByMove m_local;
  std::map<NodeId, EvidenceByMove> m_reported;
  std::string m_last_report;
  NodeId m_last_reported_to;
  SteadyClock::time_point m_last_report_at{};
};

}  // namespace cowslipknot
