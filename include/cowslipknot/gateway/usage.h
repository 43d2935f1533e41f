#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/ids.h"

/// Usage accounting: the number of requests that started to execute, by time
/// window and workspace.
namespace cowslipknot::gateway {

using WindowCounts = std::map<WorkspaceId, std::uint64_t>;

/// Request counts of the latest windows at one instance. Not thread-safe.
class UsageLedger {
 public:
  void Record(std::uint64_t window, const WorkspaceId& workspace,
              std::uint64_t count = 1) {
    m_windows[window][workspace] += count;
  }
  void Merge(const UsageLedger& other);
  /// Deletes the counts of windows before `window`.
  void DropBefore(std::uint64_t window);
  const std::map<std::uint64_t, WindowCounts>& Windows() const {
    return m_windows;
  }

 private:
  std::map<std::uint64_t, WindowCounts> m_windows;
};

/// The report that each gateway process publishes to the others in the store.
struct InstanceReport {
  NodeId node;
  DomainId domain;
  std::optional<Endpoint> peers;  ///< where other instances borrow quota
  std::uint64_t started_ms = 0;   ///< distinguishes processes of one node
  std::uint64_t sequence = 0;     ///< increases with each report
  /// On the shared clock; the counts of all windows up to it are complete.
  std::int64_t as_of_ms = 0;
  std::uint64_t revision = 0;  ///< of the configuration in force; 0 if none
  bool stopping = false;
  std::map<WorkspaceId, double> demand;  ///< per second
  /// Mean number of servers that this instance's requests keep busy.
  std::map<ServiceId, double> busy;
  UsageLedger usage;
  std::string evidence;  ///< about moves, encoded by EncodeEvidence()
  /// About quarantined requests and prompt parts, encoded by
  /// EncodeCrashEvidence(). In the lease holder's report only, so that it
  /// survives all processes.
  std::string prompt_evidence;
  /// Failure domains whose servers get no new requests from this instance.
  std::vector<DomainId> evacuated;
};

std::string EncodeReport(const InstanceReport& report);
std::optional<InstanceReport> DecodeReport(std::string_view text);

/// Computes the delay until the next report. It is shortened so that a report
/// follows shortly after the end of each window, which completes its counts.
/// @param now_ms  time on the shared clock
/// @param pause   regular delay
/// @param offset  time from the end of a window to the report; differs between
///                instances to spread the calls
Milliseconds DelayBeforeReport(std::int64_t now_ms, Milliseconds window,
                               Milliseconds pause, Milliseconds offset);

/// How far behind the current window a window may be that is still reported.
/// @param due  end of a window until its report is due
std::uint64_t MaxWindowsBehind(Milliseconds window, Milliseconds due);

std::string EncodeCounts(const WindowCounts& counts);
std::optional<WindowCounts> DecodeCounts(std::string_view text);

}  // namespace cowslipknot::gateway
