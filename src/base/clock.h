#pragma once

#include <time.h>

#include <chrono>
#include <string>

#include "cowslipknot/ids.h"

namespace cowslipknot {

using SteadyClock = std::chrono::steady_clock;

/// Current time of the system's wall clock.
inline WallTime NowWall() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Time since boot, including time suspended. CLOCK_MONOTONIC stops while the
/// machine is suspended, so a lease timed with it could still
/// seem valid after a suspension in which it expired.
inline std::chrono::nanoseconds TimeSinceBoot() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

/// Milliseconds since a time of TimeSinceBoot(), truncated, as text for logs.
inline std::string FormatAgeMs(std::chrono::nanoseconds moment) {
  return std::to_string(
      std::chrono::duration_cast<Milliseconds>(TimeSinceBoot() - moment)
          .count());
}

/// Milliseconds elapsed since `start`, including the fraction.
inline double ElapsedMsSince(SteadyClock::time_point start) {
  const std::chrono::duration<double, std::milli> elapsed =
      SteadyClock::now() - start;
  return elapsed.count();
}

/// Time elapsed since `start`, truncated to milliseconds.
inline Milliseconds ElapsedSince(SteadyClock::time_point start) {
  return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - start);
}

}  // namespace cowslipknot
