#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "cowslipknot/coordination/shed_level.h"
#include "cowslipknot/ids.h"

/// When callers that were refused for want of room return.
namespace cowslipknot {

/// A refused request.
struct RefusedRequest {
  Urgency urgency;
  Milliseconds target{0};  ///< time to the first event, since its caller began
  Milliseconds age{0};     ///< since its caller first sent it
  Milliseconds time_left{0};  ///< until its caller gives up
  double refused_share = 0;   ///< of its rank, at present
};

/// Age of a request by the time that its caller has left. Callers begin with
/// slightly different times, so that a small age isn't known.
/// @param full  the longest time that callers of its route begin with
/// @return zero if it may be the caller's first attempt
Milliseconds KnownAge(Milliseconds full, Milliseconds left);

/// Whether a request can still be on time after another try.
bool CanBeOnTime(const RefusedRequest& request);

/// Spreads the returns of refused callers over the next seconds, so that those
/// promised in any second stay within the room that is expected.
///
/// Reads no clock. Single-threaded.
class ReturnPlan {
 public:
  using Time = std::chrono::nanoseconds;

  /// Promises one return.
  /// @param served  requests a second that this instance gets served
  /// @param draw  spreads returns within a tenth of a second
  /// @return the delay of the caller's return
  Milliseconds Promise(const RefusedRequest& request, RequestRate served,
                       Time now, UnitDraw draw);

 private:
  using Tenth = std::int64_t;  ///< of a second, since the clock's start
  std::uint64_t PromisedAround(Tenth tenth) const;

  std::map<Tenth, std::uint64_t> m_promised;
};

}  // namespace cowslipknot
