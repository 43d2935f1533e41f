#pragma once

#include <time.h>

#include <chrono>
#include <string>

#include "cowslipknot/ids.h"

namespace cowslipknot {

using SteadyClock = std::chrono::steady_clock;

/// The system's wall clock.
inline WallTime NowWall() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Time since boot, suspension included: CLOCK_MONOTONIC stands still while a
/// machine is suspended, and would let leases outlive that.
inline std::chrono::nanoseconds BootTime() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

/// Milliseconds since a point in time, with their fraction.
inline double FractionalMsSince(SteadyClock::time_point start) {
  const std::chrono::duration<double, std::milli> passed =
      SteadyClock::now() - start;
  return passed.count();
}

/// Whole milliseconds since a point in time.
inline Milliseconds Since(SteadyClock::time_point start) {
  return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - start);
}

}  // namespace cowslipknot
