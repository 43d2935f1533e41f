#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cowslipknot {

/// Token bucket that limits the rate of log lines. Reads no clock: the time is
/// an argument.
class LineRateLimiter {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param per_second  lines allowed in the long run
  /// @param burst       lines allowed at once
  LineRateLimiter(double per_second, double burst)
      : m_per_second(per_second), m_burst(burst), m_tokens(burst) {}

  /// @return false if the line must be dropped
  bool TryAcquire(Time now) {
    const std::chrono::duration<double> elapsed = now - m_updated;
    m_updated = now;
    const double refill = std::max(0.0, elapsed.count()) * m_per_second;
    m_tokens = std::min(m_burst, m_tokens + refill);
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

 private:
  double m_per_second;
  double m_burst;
  double m_tokens;
  Time m_updated{0};
};

}  // namespace cowslipknot
