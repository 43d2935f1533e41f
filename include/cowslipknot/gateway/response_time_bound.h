#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

namespace cowslipknot::gateway {

/// Computes a lower bound for the local time at which the store created a
/// response to a long poll, and hence an upper bound for its age.
///
/// A response cannot be older than the request that it answers. Each response
/// carries a reading of the store's monotonic clock, which tells how much later
/// than earlier responses it was created. The offset between the two clocks is
/// therefore at least the largest difference between the time at which a
/// request was sent and the store's reading in its response. Reads no clock:
/// readings are arguments. Single-threaded.
class ResponseTimeBound {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param sent_at     local clock reading when the request was sent
  /// @param store_time  store clock reading in the response
  /// @param era         era of the store that sent the response
  /// @return local clock reading at or before the creation of the response
  Time EarliestResponseTime(Time sent_at, Milliseconds store_time,
                            StoreEra era = {}) {
    const Time offset = sent_at - store_time;
    // A restarted or restored store may have another clock, to which offsets
    // of the former one do not apply.
    const bool restarted = era != m_era || (m_latest && store_time < *m_latest);
    m_era = era;
    if (!m_offset || restarted || offset > *m_offset) m_offset = offset;
    m_latest = store_time;
    return *m_offset + store_time;
  }

 private:
  std::optional<Time> m_offset;  ///< largest local reading minus store reading
  std::optional<Milliseconds> m_latest;
  StoreEra m_era;
};

}  // namespace cowslipknot::gateway
