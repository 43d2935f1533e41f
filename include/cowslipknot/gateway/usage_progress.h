#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/store_position.h"

namespace cowslipknot::gateway {

/// The row of the last window whose report was accepted or skipped.
struct UsageDoneRow {
  std::uint64_t window = 0;
  /// The era in which no later window was reported without its counts in the
  /// store; 0 if the writer could not tell, and in the first format.
  StoreEra era;
  bool operator==(const UsageDoneRow&) const = default;
};

/// The row of a window whose counts are fixed before they are reported.
struct UsageCountsRow {
  WindowCounts counts;
  StoreEra era;  ///< as known to the writer; 0 in the first format
  bool operator==(const UsageCountsRow&) const = default;
};

std::string EncodeUsageDone(const UsageDoneRow& row);
std::optional<UsageDoneRow> DecodeUsageDone(std::string_view text);
std::string EncodeUsageCounts(const UsageCountsRow& row);
std::optional<UsageCountsRow> DecodeUsageCounts(std::string_view text);

/// Decides which windows may be reported, and with which counts, so that no
/// window is ever reported with two different counts.
///
/// A restore of the store loses counts that were fixed and reported. What this
/// process knows of them stays valid. Other windows that may have been reported
/// in an earlier era are skipped, except by an instance that has held the lease
/// since before the restore, and so has made all reports itself.
class UsageProgress {
 public:
  /// What one reading of the table shows.
  struct Reading {
    StoreEra era;
    std::optional<UsageDoneRow> done;
    std::map<std::uint64_t, UsageCountsRow> counts;  ///< by window
    /// The epoch with which the hold of this instance on the lease began.
    std::optional<Epoch> held;
    /// The latest window whose counts may have been fixed before the reading;
    /// nothing while the shared time is unknown.
    std::optional<std::uint64_t> last_fixed;
  };

  void Observe(const Reading& reading);
  /// Records that counts were fixed by a transaction of the current era.
  void RecordFixed(std::uint64_t window, const WindowCounts& counts);
  /// Records that a window was reported or skipped; never goes back.
  void RecordDone(std::uint64_t window);

  /// The last window that was reported or skipped.
  std::optional<std::uint64_t> LastDone() const { return m_done; }
  /// Whether it is known which windows to skip.
  bool IsReady() const { return m_era && !m_awaits_time; }
  /// Whether a window may have been reported with counts that are unknown here.
  bool MustSkip(std::uint64_t window) const;
  /// The counts of a window, if they were fixed.
  std::optional<WindowCounts> FixedCounts(std::uint64_t window) const;
  /// Whether the counts of a window were fixed in the current era.
  bool IsFixedInEra(std::uint64_t window) const;
  /// The row to write for the last window that was reported or skipped.
  UsageDoneRow DoneRow() const;
  /// Whether the table's row is a leftover that DoneRow() should replace.
  bool NeedsDoneRow() const;

 private:
  struct Fixed {
    std::optional<WindowCounts> counts;  ///< nothing: two different ones
    StoreEra era;                        ///< latest one in which they were seen
  };

  /// Whether a process without memory may report each later window whose counts
  /// the store does not hold.
  bool IsComplete() const;

  std::optional<StoreEra> m_era;
  std::optional<std::uint64_t> m_done;
  /// Windows up to this one may have been reported in an earlier era.
  std::optional<std::uint64_t> m_uncertain_until;
  bool m_awaits_time = false;   ///< m_uncertain_until is not known yet
  bool m_has_done_row = false;  ///< of the current era
  std::optional<Epoch> m_held;  ///< at the last reading
  std::map<std::uint64_t, Fixed> m_fixed;
};

}  // namespace cowslipknot::gateway
