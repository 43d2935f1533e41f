#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// Bounds the moment at which the store made an answer that was waited for.
///
/// An answer cannot be older than the call that asked for it; the store's
/// monotonic clock, which each answer carries, tells how much later than an
/// earlier answer it was made. Pure: readings of clocks are arguments.
class AnswerAge {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param asked       local reading when the call was sent
  /// @param store_time  the store's reading in the answer
  /// @return a local reading at or before the moment of the answer
  Time AnsweredAfter(Time asked, Milliseconds store_time) {
    const Time offset = asked - store_time;
    // A reading below an earlier one is of another clock.
    const bool restarted = m_latest && store_time < *m_latest;
    if (!m_offset || restarted || offset > *m_offset) m_offset = offset;
    m_latest = store_time;
    return *m_offset + store_time;
  }

 private:
  std::optional<Time> m_offset;  ///< greatest known local minus store reading
  std::optional<Milliseconds> m_latest;
};

}  // namespace cowslipknot::gateway
