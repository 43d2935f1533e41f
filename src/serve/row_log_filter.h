#pragma once

#include <chrono>
#include <map>
#include <string>

namespace cowslipknot::gateway {

/// Limits how often unreadable rows are logged, since another writer may change
/// them, or a read return them, at any rate.
class RowLogFilter {
 public:
  using Time = std::chrono::nanoseconds;

  /// Returns whether to log the row with this key, and counts it as logged.
  bool ShouldLog(const std::string& key, Time now) {
    std::erase_if(m_logged, [now](const auto& item) {
      return now - item.second >= kInterval;
    });
    if (m_logged.size() >= kMaxRows) return false;
    return m_logged.emplace(key, now).second;
  }

 private:
  static constexpr std::chrono::seconds kInterval{10};
  static constexpr std::size_t kMaxRows = 100;  ///< logged within an interval

  std::map<std::string, Time> m_logged;
};

}  // namespace cowslipknot::gateway
