#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "cowslipknot/ids.h"

/// Limits that servers name on the requests they take from all instances
/// together.
namespace cowslipknot {

struct LimitReading {
  RequestRate limit;
  bool is_adjusted = false;  ///< the stated value was not usable as it was
};

/// The highest limit that is kept; higher ones do not bind.
inline constexpr RequestRate kMaxServerLimit(100000);

/// Bounds a stated limit.
/// @param per_s  may be negative, infinite or not a number
/// @return nothing if it is not a number
std::optional<LimitReading> BoundLimit(double per_s);

/// What one answer of a server said of its limit.
struct LimitStatement {
  using Time = std::chrono::nanoseconds;

  std::optional<RequestRate> limit;  ///< none: the answer named no limit
  Time sent{0};                      ///< when the request was sent
  Time read{0};                      ///< when the answer's header was read
};

/// Whether a statement replaces the one known.
///
/// A later one does. The end of a limit must also be the answer to a request
/// sent after the limit was last read: answers that cross on the way would
/// otherwise end a limit that has just begun.
bool Supersedes(const LimitStatement& statement, const LimitStatement& known);

/// Spreads the return of callers that were refused since all servers of a
/// service are limited. Callers return at the rate that the servers take, up to
/// a maximum delay.
///
/// Reads no clock. Single-threaded.
class ReturnQueue {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param rate  requests a second that this instance can expect to send
  /// @return the delay after which the next caller should return
  Time Join(RequestRate rate, Time now);

 private:
  Time m_last_return{0};
};

}  // namespace cowslipknot
