#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/gateway/usage.h"

/// The gateway instances, as their reports in the store show them.
namespace cowslipknot::gateway {

/// Pure: readings of a monotonic clock are arguments, and a report's age is
/// measured from when this instance first saw it, so that no clock is trusted.
class InstanceTable {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param lifetime  an instance silent for longer serves no keyed requests
  explicit InstanceTable(Milliseconds lifetime) : m_lifetime(lifetime) {}

  /// Notes the reports found, by key; others have been removed. A long time
  /// since the last call is an outage of the store, and no one's silence.
  void Observe(std::map<std::string, InstanceReport> reports, Time now);

  /// Processes that may be serving: not replaced, stopping or silent for long.
  std::vector<const InstanceReport*> Serving(Time now) const;

  /// The latest earlier process of a node, if its report is still there.
  const InstanceReport* Predecessor(const NodeId& node,
                                    std::uint64_t started) const;

  /// What was counted in a window by all processes, dead ones included.
  WindowCounts Sum(std::uint64_t window) const;
  /// The first window that any report counts.
  std::optional<std::uint64_t> FirstWindow() const;
  /// Whether all counts of a window are known. A process that is silent, as
  /// behind a cut, may have served for a lifetime after its last report.
  /// @param start_ms  the window's start on the shared clock
  /// @param end_ms  its end
  bool Complete(std::int64_t start_ms, std::int64_t end_ms, Time now) const;

  /// Keys of reports whose process is gone and whose counts are all before
  /// `window`.
  std::vector<std::string> Obsolete(std::uint64_t window, Time now) const;

 private:
  struct Seen {
    InstanceReport report;
    Time changed{0};
  };
  /// Whether a process has ended: a later one of its node runs, or it said so.
  bool HasEnded(const Seen& seen) const;
  bool IsServing(const Seen& seen, Time now) const;

  Milliseconds m_lifetime;
  Time m_observed{0};  ///< latest call of Observe()
  std::map<std::string, Seen> m_seen;
  std::map<NodeId, std::uint64_t> m_newest;  ///< start of each node's latest
};

}  // namespace cowslipknot::gateway
