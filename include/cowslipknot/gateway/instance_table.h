#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/store_position.h"

/// The gateway instances, as known from their reports in the store.
namespace cowslipknot::gateway {

/// Tracks which processes may be serving, and sums their request counts.
///
/// Reads no clock: readings of a monotonic clock are arguments. The age of a
/// report is measured from when this instance first read it, so that the clocks
/// of other instances do not matter. Single-threaded.
class InstanceTable {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param lifetime  an instance that has not reported for longer than this no
  ///                  longer serves requests with an API key
  explicit InstanceTable(Milliseconds lifetime) : m_lifetime(lifetime) {}

  /// Records the reports that the store holds, by key; reports that are missing
  /// have been removed, or lost by a restore if the era has changed. A long gap
  /// since the last call is taken for an outage of the store and does not count
  /// towards the age of any report.
  void Observe(std::map<std::string, InstanceReport> reports, Time now,
               StoreEra era = {});

  /// Forgets the reports that a restore lost, if the process no longer serves
  /// and all its counts are of windows before `window`.
  void ForgetLost(std::uint64_t window, Time now);

  /// Processes that may be serving: not replaced by a later process of the same
  /// node, not stopping, and with a report within the lifetime.
  std::vector<const InstanceReport*> Serving(Time now) const;

  /// All reports, including those of processes that have ended.
  std::vector<const InstanceReport*> All() const;

  /// Whether a later report of the same process is known.
  bool IsSuperseded(const std::string& key, std::uint64_t sequence) const;

  /// The latest process of a node that started before `started`, or nullptr if
  /// the store holds no report of one.
  const InstanceReport* Predecessor(const NodeId& node,
                                    std::uint64_t started) const;

  /// The requests counted in a window by all processes, including processes
  /// that have ended.
  WindowCounts SumWindow(std::uint64_t window) const;
  /// The earliest window that any report has counts for.
  std::optional<std::uint64_t> FirstWindow() const;
  /// Whether all counts of a window are known. A process that does not report,
  /// for example because of a network partition, may have served for one
  /// lifetime after its last report.
  /// @param start_ms  start of the window on the shared clock
  /// @param end_ms    end of the window on the shared clock
  bool IsWindowComplete(std::int64_t start_ms, std::int64_t end_ms,
                        Time now) const;

  /// Keys of reports that may be deleted: the process no longer serves, and all
  /// its counts are of windows before `window`.
  std::vector<std::string> ObsoleteKeys(std::uint64_t window, Time now) const;

 private:
  struct TrackedReport {
    InstanceReport report;
    Time last_change{0};
    bool lost = false;  ///< by a restore of the store
  };
  /// Whether a process has ended: a later process of the same node has started,
  /// or its last report announced that it is stopping.
  bool HasEnded(const TrackedReport& tracked) const;
  bool IsServing(const TrackedReport& tracked, Time now) const;
  bool IsObsolete(const TrackedReport& tracked, std::uint64_t window,
                  Time now) const;

  Milliseconds m_lifetime;
  Time m_last_observed{0};  ///< last call of Observe()
  StoreEra m_era;           ///< at that time
  std::map<std::string, TrackedReport> m_reports;
  /// Start time of the latest process of each node.
  std::map<NodeId, std::uint64_t> m_latest_start;
};

}  // namespace cowslipknot::gateway
