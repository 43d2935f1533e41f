#pragma once

#include <deque>
#include <map>
#include <optional>

#include "base/clock.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/instance_table.h"
#include "cowslipknot/gateway/settings.h"
#include "protocol/gateway_dialect.h"

namespace cowslipknot::gateway {

/// The shared time of day: the store's monotonic clock plus an offset that the
/// first instance stored, so that stepped clocks of machines do no harm.
class ClusterClock {
 public:
  /// Notes an answer of the store that was asked for at `asked`.
  void NoteStoreTime(Milliseconds store_time, std::chrono::nanoseconds asked,
                     std::chrono::nanoseconds answered);
  void SetOffset(Milliseconds offset) { m_offset = offset; }
  bool HasOffset() const { return m_offset.has_value(); }
  /// What to store as the offset, given this machine's time of day.
  std::optional<Milliseconds> ProposeOffset(WallTime wall,
                                            std::chrono::nanoseconds now) const;
  /// Shared time less BootTime(); nothing until both are known.
  std::optional<std::chrono::nanoseconds> FromBoot() const;

 private:
  struct Sample {
    std::chrono::nanoseconds store_minus_boot{0};
    std::chrono::nanoseconds round_trip{0};
  };
  std::optional<Sample> m_sample;
  std::optional<Milliseconds> m_offset;
};

/// The rows that instances share, and the duties that one of them performs.
class Duties {
 public:
  /// What an exchange with the store needs from the instance.
  struct Input {
    std::map<WorkspaceId, double> demand;
    UsageLedger usage;  ///< counted since the last exchange
    std::map<ServiceId, double> busy;
    std::uint64_t revision = 0;  ///< of the configuration in force
    bool stopping = false;
    std::map<MoveId, MoveEvidence> evidence;
  };

  Duties(const Settings& settings, const Dialect& dialect);

  /// Writes this instance's report and reads the others'. Renews or takes the
  /// lease on the way.
  Awaitable<Result<void>> Exchange(Input input);
  /// Writes this process's last report. Without the store it is lost.
  Awaitable<void> Leave(Input input);
  /// Performs what the lease's holder must do now.
  /// @param servers  those ready
  Awaitable<void> Perform(ConfigurationPtr configuration,
                          std::vector<ServerEntry> servers);

  /// Notes the orders in force; those known before and not named are over.
  void SetOrders(std::map<ServiceId, MoveOrder> orders) {
    m_orders = std::move(orders);
  }
  /// Moves that are ordered, as last read; one that this instance's own
  /// evidence shows as harmful gets no share here.
  std::map<ServiceId, VersionMove> Moves() const;
  /// Whether a move is undecided.
  bool IsMoving() const;

  const InstanceTable& Instances() const { return m_instances; }
  const NodeId& Self() const { return m_settings.node; }
  /// Whether a process of this node was serving until just now.
  bool SucceedsLatePredecessor() const;
  std::uint64_t Started() const { return m_started; }
  std::optional<std::chrono::nanoseconds> ClockFromBoot() const {
    return m_clock.FromBoot();
  }
  bool HoldsLease() const { return m_lease.MayAct(LeaseNow()); }
  /// Time of day that all instances share, once it is known.
  std::optional<std::int64_t> SharedNowMs() const;

 private:
  static LeaseView::Time LeaseNow() {
    return LeaseView::Time(
        std::chrono::duration_cast<LeaseView::Time::duration>(BootTime()));
  }
  InstanceReport BuildReport(const Input& input);
  /// Whether the lease has lapsed, was given up, or was held by an earlier
  /// process of this machine.
  bool MayTakeLease(LeaseView::Time now) const;
  Awaitable<Result<void>> WriteReport(Input input);
  Awaitable<Result<void>> ReadTable();
  Awaitable<void> StoreClock();
  Awaitable<void> ReportUsage();
  Awaitable<void> OrderCapacity(ConfigurationPtr configuration,
                                std::vector<ServerEntry> servers);
  std::map<DomainId, DomainCapacity> DomainCapacities(
      const ServiceId& service, const std::vector<ServerEntry>& servers) const;
  Awaitable<void> StepMoves();
  MoveEvidence EvidenceOf(const MoveId& key) const;
  Awaitable<bool> SendUsage(std::uint64_t window);
  Awaitable<Result<WindowCounts>> CommitUsage(std::uint64_t window);
  Awaitable<Result<StoreRows>> Change(StoreChange change);

  const Settings& m_settings;
  const Dialect& m_dialect;
  std::chrono::nanoseconds m_began = BootTime();
  std::uint64_t m_started;  ///< time of day; tells processes apart
  std::string m_report_key;
  std::uint64_t m_report_version = 0;
  std::uint64_t m_sequence = 0;
  UsageLedger m_usage;
  InstanceTable m_instances;
  ClusterClock m_clock;
  /// The lease as last sent to the store by this process.
  struct SentLease {
    LeaseRow row;
    LeaseView::Time sent{};
  };

  LeaseView m_lease;
  std::optional<SentLease> m_lease_sent;
  bool m_lease_held = false;                          ///< as last logged
  std::map<std::uint64_t, WindowCounts> m_committed;  ///< by window
  std::optional<std::uint64_t> m_done;  ///< windows up to it are accepted
  std::uint64_t m_done_version = 0;
  bool m_table_read = false;
  std::map<ServiceId, CapacityPlanner> m_planners;

  /// A move's row in the store.
  struct StoredMove {
    VersionMove move;
    std::uint64_t version = 0;
  };
  std::map<ServiceId, MoveOrder> m_orders;
  std::map<ServiceId, StoredMove> m_moves;
  std::map<MoveId, MoveEvidence> m_evidence;  ///< of this instance
};

}  // namespace cowslipknot::gateway
