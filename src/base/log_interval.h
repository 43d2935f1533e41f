#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace cowslipknot {

/// Lets one log line a second pass and counts the others.
class LogInterval {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// @return how many lines were held back since the last one that passed, or
  /// nothing if this one is held back too
  std::optional<std::uint64_t> Admit(Time now) {
    constexpr std::chrono::seconds kInterval(1);
    if (m_last && now - *m_last < kInterval) {
      ++m_held_back;
      return std::nullopt;
    }
    m_last = now;
    return std::exchange(m_held_back, 0);
  }

 private:
  std::optional<Time> m_last;
  std::uint64_t m_held_back = 0;
};

}  // namespace cowslipknot
