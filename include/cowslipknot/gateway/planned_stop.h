#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>

#include "cowslipknot/gateway/routes.h"

/// Decides which requests an instance still serves while it stops.
namespace cowslipknot::gateway {

/// Recent requests of a route.
struct DurationCount {
  double all = 0;
  double longer = 0;  ///< than a limit; at least as many as there were
};

/// Durations of the recent requests of each route. Reads no clock: the time is
/// an argument. Single-threaded.
class RequestDurations {
 public:
  using Time = std::chrono::nanoseconds;

  /// Records a request that was answered, or that failed after being sent.
  void Record(const RouteId& route, Milliseconds duration, Time now);
  DurationCount Count(const RouteId& route, Milliseconds limit, Time now);

 private:
  /// Buckets of durations; the bounds grow by a constant factor.
  static constexpr std::size_t kBuckets = 72;
  using Histogram = std::array<std::uint32_t, kBuckets>;
  using Histograms = std::map<RouteId, Histogram>;

  static std::size_t BucketOf(Milliseconds duration);
  void DropOld(Time now);

  Histograms m_current;
  Histograms m_previous;
  Time m_current_since{0};
};

/// A request that has not been sent to a server, on an instance that stops.
struct StopForecast {
  Milliseconds until_end{0};    ///< when the instance ends its requests
  Milliseconds until_limit{0};  ///< when the response is due at the latest
  DurationCount recent;         ///< by `until_end`
};

/// Whether the request is expected to end before the instance does, with a risk
/// that depends on what it costs to be cut off.
bool MayEndBeforeStop(const Route& route, const StopForecast& forecast);

}  // namespace cowslipknot::gateway
