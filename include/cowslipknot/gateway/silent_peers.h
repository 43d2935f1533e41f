#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// Addresses of instances that no longer report to the store, but may still
/// serve: an instance that has lost the store goes on, and needs what the
/// others tell it more than they do.
///
/// Reads no clock. Single-threaded.
class SilentPeers {
 public:
  using Time = std::chrono::nanoseconds;

  /// Records the instances that report now.
  void Update(std::set<Endpoint> reporting, Time now) {
    for (const auto& address : m_reporting) {
      if (!reporting.contains(address)) m_silent.emplace(address, now);
    }
    std::erase_if(m_silent, [&](const auto& item) {
      return reporting.contains(item.first) || now - item.second >= kKept;
    });
    while (m_silent.size() > kMaxSilent) {
      m_silent.erase(std::ranges::min_element(
          m_silent, {}, [](const auto& item) { return item.second; }));
    }
    m_reporting = std::move(reporting);
  }

  std::vector<Endpoint> Addresses() const {
    std::vector<Endpoint> addresses;
    addresses.reserve(m_silent.size());
    for (const auto& [address, since] : m_silent) addresses.push_back(address);
    return addresses;
  }

 private:
  /// Longer outages are those of machines that are gone.
  static constexpr std::chrono::seconds kKept{60};
  static constexpr std::size_t kMaxSilent = 256;

  std::set<Endpoint> m_reporting;
  std::map<Endpoint, Time> m_silent;  ///< with when the reports ended
};

}  // namespace cowslipknot::gateway
