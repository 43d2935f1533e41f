#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

namespace cowslipknot::gateway {

/// The row of the shared clock: what is added to the store's clock of an era.
struct ClockRow {
  Milliseconds offset{0};
  StoreEra era;  ///< 0 in the first format
  bool operator==(const ClockRow&) const = default;
};

std::string EncodeClock(const ClockRow& row);
std::optional<ClockRow> DecodeClock(std::string_view text);

/// Wall clock shared by all instances: the store's monotonic clock plus an
/// offset that the first instance stored. Unaffected by clock steps on single
/// machines.
///
/// A restored store may continue from any time. An instance that knows the
/// shared time keeps it, and proposes the offset of the new era.
class ClusterClock {
 public:
  /// Adds a reading of the store's clock from a call that was sent at `sent_at`
  /// and returned at `received_at`, both in TimeSinceBoot().
  void AddSample(StoreEra era, Milliseconds store_time,
                 std::chrono::nanoseconds sent_at,
                 std::chrono::nanoseconds received_at);
  /// Takes over the stored offset, unless one is known or it is of another era.
  /// @return whether it was taken over
  bool SetOffset(const ClockRow& row);
  /// Whether the offset of the current era is known.
  bool HasOffset() const { return m_offset.has_value(); }
  /// Returns the row to store, given this machine's wall clock; nothing before
  /// the first sample, and while another instance may still know the time.
  std::optional<ClockRow> ProposeOffset(WallTime wall,
                                        std::chrono::nanoseconds now) const;
  /// Shared time minus TimeSinceBoot(); nothing until it is known.
  std::optional<std::chrono::nanoseconds> OffsetFromBoot() const;

 private:
  struct Sample {
    StoreEra era;
    std::chrono::nanoseconds store_minus_boot{0};
    std::chrono::nanoseconds round_trip{0};
  };
  std::optional<Sample> m_sample;
  std::chrono::nanoseconds m_era_seen{0};  ///< when its first sample was taken
  std::optional<Milliseconds> m_offset;
  /// OffsetFromBoot() of the era before.
  std::optional<std::chrono::nanoseconds> m_earlier_offset;
};

}  // namespace cowslipknot::gateway
