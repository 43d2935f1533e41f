#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cowslipknot {

/// Bounds the log's volume. Pure: time is an argument.
class LineBudget {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param per_second  lines allowed in the long run
  /// @param burst       lines allowed at once
  LineBudget(double per_second, double burst)
      : m_per_second(per_second), m_burst(burst), m_left(burst) {}

  /// @return false when the line must be left out
  bool Take(Time now) {
    const std::chrono::duration<double> passed = now - m_updated;
    m_updated = now;
    const double earned = std::max(0.0, passed.count()) * m_per_second;
    m_left = std::min(m_burst, m_left + earned);
    if (m_left < 1) return false;
    m_left -= 1;
    return true;
  }

 private:
  double m_per_second;
  double m_burst;
  double m_left;
  Time m_updated{0};
};

}  // namespace cowslipknot
