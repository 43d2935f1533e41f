#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/ids.h"

/// Requests that began to run, counted by window of time and workspace.
namespace cowslipknot::gateway {

using WindowCounts = std::map<WorkspaceId, std::uint64_t>;

/// Counts of the latest windows at one instance.
class UsageLedger {
 public:
  void Note(std::uint64_t window, const WorkspaceId& workspace,
            std::uint64_t count = 1) {
    m_windows[window][workspace] += count;
  }
  void Merge(const UsageLedger& other);
  /// Forgets windows before `window`.
  void Forget(std::uint64_t window);
  const std::map<std::uint64_t, WindowCounts>& Windows() const {
    return m_windows;
  }

 private:
  std::map<std::uint64_t, WindowCounts> m_windows;
};

/// What one process tells the others through the store.
struct InstanceReport {
  NodeId node;
  DomainId domain;
  std::optional<Endpoint> peers;  ///< where limits are lent
  std::uint64_t started = 0;      ///< tells processes of one node apart
  std::uint64_t sequence = 0;     ///< rises with each report
  std::int64_t as_of_ms = 0;      ///< on the shared clock; its counts are whole
  std::uint64_t revision = 0;     ///< of the configuration in force; 0: none
  bool stopping = false;
  std::map<WorkspaceId, double> demand;  ///< per second
  /// Servers of a service kept busy by this instance's requests.
  std::map<ServiceId, double> busy;
  UsageLedger usage;
  std::string evidence;  ///< on moves, as EncodeEvidence() writes it
};

std::string EncodeReport(const InstanceReport& report);
std::optional<InstanceReport> DecodeReport(std::string_view text);

/// The pause before the next report, shortened so that one follows each
/// window's end: its counts are then complete soon.
/// @param now_ms  on the shared clock
/// @param offset  of this instance's report from the end; spreads the calls
Milliseconds PauseBeforeReport(std::int64_t now_ms, Milliseconds window,
                               Milliseconds pause, Milliseconds offset);

std::string EncodeCounts(const WindowCounts& counts);
std::optional<WindowCounts> DecodeCounts(std::string_view text);

}  // namespace cowslipknot::gateway
