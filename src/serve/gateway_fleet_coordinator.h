#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "base/clock.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/fleet_view.h"
#include "cowslipknot/gateway/instance_table.h"
#include "cowslipknot/gateway/settings.h"
#include "cowslipknot/gateway/usage_progress.h"
#include "protocol/peer_frame.h"
#include "protocol/platform_adapter.h"
#include "serve/cluster_clock.h"

namespace cowslipknot::gateway {

/// Coordinates instances through rows in the store: exchanges reports,
/// maintains the lease, and performs the tasks of the lease holder. Runs on the
/// control thread.
class FleetCoordinator {
 public:
  /// This instance's data for its report to the store.
  struct ReportInput {
    std::map<WorkspaceId, double> demand;
    UsageLedger usage;  ///< counted since the last report
    std::map<ServiceId, double> busy;
    std::uint64_t revision = 0;  ///< of the active configuration
    bool stopping = false;
    std::map<MoveId, MoveEvidence> evidence;
    std::string prompt_evidence;  ///< empty if no part is quarantined
  };

  FleetCoordinator(const Settings& settings, const PlatformAdapter& adapter);

  /// Writes this instance's report and reads those of the others. The write
  /// also renews or acquires the lease.
  Awaitable<Result<void>> Exchange(ReportInput input);
  /// Writes this process's final report, which is lost if the store is
  /// unreachable.
  Awaitable<void> Leave(ReportInput input);

  /// Returns the row of this instance's next report, for a relay to write.
  StoreRow PrepareReport(const ReportInput& input);
  /// Writes reports of instances that follow this one.
  /// @return the reports that could not be written
  Awaitable<std::map<std::string, StoreRow>> WriteRelayedReports(
      std::map<std::string, StoreRow> reports);
  /// Applies what a relay has read from the store. This process's report row
  /// and the lease are then unknown until the table is read again.
  /// @param moves  none if they have not changed
  void ApplyRelayed(std::optional<std::vector<StoreRow>> moves,
                    std::uint64_t reported_window);
  /// The rows of the moves, as last read, with their state as known here.
  std::vector<StoreRow> MoveRows() const;
  /// The moves known here, for an instance that reads an older state; their
  /// version is 1 if the order is active.
  std::vector<GossipRecord> ExportMoves() const;
  /// Takes over the moves that a peer knows in a further advanced state.
  /// @return whether there were any
  bool ImportMoves(const std::vector<GossipRecord>& records);
  /// The window that was reported last; 0 if none is known.
  std::uint64_t ReportedWindow() const {
    return m_usage_progress.LastDone().value_or(0);
  }
  /// Summary of the reports, as last read.
  FleetView Summarize() const {
    return SummarizeReports(m_instances.Serving(TimeSinceBoot()));
  }
  /// Ready servers; see ServerRegistry.
  struct FleetServers {
    std::vector<ServerEntry> usable;
    std::vector<ServerEntry> running;
  };
  /// Performs the due tasks if this instance holds the lease.
  Awaitable<void> RunLeaseHolderTasks(ConfigurationPtr configuration,
                                      FleetServers servers);

  /// Replaces the active move orders; orders that are absent have ended.
  void SetOrders(std::map<ServiceId, MoveOrder> orders);
  /// Replaces the failure domains that this instance has evacuated.
  void SetEvacuated(std::vector<DomainId> domains) {
    m_evacuated = std::move(domains);
  }
  /// Returns the moves of the active orders with their state as last read. The
  /// share is 0 if the move was halted.
  std::map<ServiceId, VersionMove> Moves() const;
  /// Whether the store has lost the state of a move that is known here.
  bool HasLostMoves() const;
  /// Whether any move is undecided.
  bool IsMoving() const;
  /// Replaces the evidence of this instance, except that of orders that ended.
  void SetOwnEvidence(std::map<MoveId, MoveEvidence> evidence);
  /// Halts the moves whose new version shows a regression by all evidence that
  /// is known here. The lease holder then rolls them back.
  /// @return whether a move was halted
  bool HaltRegressions();
  /// The evidence of this instance, the moves halted here and those that the
  /// store has lost, for the others.
  PeerFrame BuildEvidenceFrame() const;
  /// Takes over another instance's evidence, the moves that it halted and those
  /// that it knows in a further advanced state.
  /// @return whether a move changed
  bool ApplyEvidenceFrame(const PeerFrame& frame);

  const InstanceTable& Instances() const { return m_instances; }
  const NodeId& Self() const { return m_settings.node; }
  /// Whether an earlier process of this node, which did not report that it
  /// stopped, was serving until recently.
  bool HasRecentPredecessor() const;
  std::uint64_t StartedMs() const { return m_started_ms; }
  std::optional<std::chrono::nanoseconds> ClockOffset() const {
    return m_clock.OffsetFromBoot();
  }
  bool HoldsLease() const { return m_lease.MayAct(LeaseNow()); }
  /// Whether the held lease is due to be renewed by the next report.
  bool ShouldRenewLease() const { return m_lease.ShouldRenew(LeaseNow()); }
  /// The shared wall clock in milliseconds; nothing until it is known.
  std::optional<std::int64_t> SharedNowMs() const;

 private:
  static LeaseView::Time LeaseNow() {
    return LeaseView::Time(
        std::chrono::duration_cast<LeaseView::Time::duration>(TimeSinceBoot()));
  }
  /// This instance as the holder, for calls that need the lease.
  LeaseHolder ActingHolder() const;
  InstanceReport BuildReport(const ReportInput& input);
  /// Whether the lease has expired, was released, or was held by an earlier
  /// process on this machine.
  bool MayAcquireLease(LeaseView::Time now) const;
  /// Whether a report is written only over the row last seen.
  enum class ReportCondition : std::uint8_t { kPosition, kNone };
  Awaitable<Result<void>> WriteReport(InstanceReport report,
                                      ReportCondition condition);
  /// Writes the lease that this instance holds, without a report.
  Awaitable<void> RenewLease();
  /// Applies the rows of the moves. A decision that the store lost is kept.
  void ApplyMoveRows(const std::vector<StoreRow>& rows);
  Awaitable<Result<void>> ReadTable();
  Awaitable<void> StoreClockOffset();
  Awaitable<void> ReportUsage();
  /// Logs windows that are not reported, and passes over them.
  void SkipWindows(std::uint64_t first, std::uint64_t last,
                   const std::string& reason);
  Awaitable<void> OrderCapacity(ConfigurationPtr configuration,
                                std::vector<ServerEntry> servers);
  /// Records the load while another instance plans the capacity.
  void ObserveCapacity(const Configuration& configuration,
                       const std::vector<ServerEntry>& servers);
  std::map<DomainId, DomainCapacity> DomainCapacities(
      const ServiceId& service, const std::vector<ServerEntry>& servers) const;
  /// Logs the failure domains that all serving instances have evacuated.
  void LogEvacuationsInForce();
  /// @param servers  that run
  Awaitable<void> AdvanceMoves(std::vector<ServerEntry> servers);
  /// The next state of a move; nothing if its state doesn't change. A decision
  /// waits for the order to be read in the store's current era, and for servers
  /// of the version in whose favor it is.
  std::optional<MoveState> DecideNextState(const VersionMove& move,
                                           const MoveOrder& order, WallTime now,
                                           const RunningVersions& running);
  /// Logs once that a move stays undecided for want of servers or of its order.
  void LogHeldDecision(const VersionMove& move, const MoveState& decision,
                       const std::string& detail);
  /// Sums up the evidence of all instances: from their frames, otherwise from
  /// their reports.
  MoveEvidence SumEvidence(const VersionMove& move) const;
  void LogEvidence(const VersionMove& move, const MoveEvidence& evidence) const;
  bool Halt(const VersionMove& move, const std::string& reason);
  Awaitable<bool> SendUsageReport(std::uint64_t window);
  /// Observes the rows about usage as they are in the table.
  void ObserveUsage(const StoreRows& rows);
  Awaitable<Result<WindowCounts>> CommitUsage(std::uint64_t window);
  Awaitable<void> WriteUsageDone();
  /// The latest window whose counts may be committed by now.
  std::optional<std::uint64_t> LastCommittableWindow() const;
  /// Commits a transaction whose conditions were read in the current era of the
  /// store.
  /// @return kRevisionConflict if they were read in another era or do not hold;
  ///         kHistoryLost if the store was restored before it was committed, so
  ///         that the conditions held for other rows
  Awaitable<Result<StoreRows>> CommitTransaction(StoreTransaction transaction);

  const Settings& m_settings;
  const PlatformAdapter& m_adapter;
  std::chrono::nanoseconds m_started_at = TimeSinceBoot();
  std::uint64_t m_started_ms;  ///< Unix time; tells processes of a node apart
  std::string m_report_key;
  StorePosition m_report_position;  ///< unknown: no such row
  /// Whether the table was read since the last report that a relay wrote.
  bool m_report_position_known = true;
  std::map<std::string, StorePosition> m_row_positions;  ///< of all reports
  StoreEra m_era;  ///< of the store, the latest one seen here
  std::uint64_t m_sequence = 0;
  UsageLedger m_usage;
  InstanceTable m_instances;
  ClusterClock m_clock;
  StorePosition m_clock_position;
  LeaseView m_lease;
  bool m_logged_lease_held = false;  ///< as last logged
  UsageProgress m_usage_progress;
  std::map<std::uint64_t, StorePosition> m_usage_positions;  ///< by window
  StorePosition m_usage_done_position;
  bool m_table_read = false;
  std::map<ServiceId, CapacityPlanner> m_planners;
  std::vector<DomainId> m_evacuated;
  std::vector<DomainId> m_evacuated_everywhere;  ///< as last logged

  /// A move with the position of its row in the store.
  struct StoredMove {
    VersionMove move;
    StorePosition position;  ///< unknown: the store has no such row
    bool is_stored = true;   ///< the row has this state
    /// The move of a later order, while the store has lost both.
    std::optional<VersionMove> lost;
  };
  bool IsLost(const StoredMove& stored) const;
  /// Returns the known move of an active order.
  const VersionMove* FindMove(const MoveOrder& order) const;
  std::map<ServiceId, MoveOrder> m_move_orders;
  std::map<ServiceId, StoredMove> m_moves;
  std::map<MoveId, MoveEvidence> m_evidence;  ///< seen by this instance
  std::map<NodeId, std::map<MoveId, MoveEvidence>> m_peer_evidence;
  std::map<MoveId, std::string> m_halted;  ///< by MoveKey(), with the reason
  std::set<MoveId> m_held;  ///< moves whose decision is held, as logged
};

}  // namespace cowslipknot::gateway
