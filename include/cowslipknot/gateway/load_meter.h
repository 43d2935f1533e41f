#pragma once

#include <chrono>
#include <map>

#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// Servers of each service that requests keep busy: a decaying mean of the
/// server time that they take. Pure: time is an argument.
class LoadMeter {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param server_ms  time of one server, when the request had it alone
  void Note(const ServiceId& service, double server_ms, Time now);
  std::map<ServiceId, double> Busy(Time now);

 private:
  struct Mean {
    double servers = 0;
    Time updated{0};
  };
  static void Decay(Mean& mean, Time now);
  std::map<ServiceId, Mean> m_means;
};

}  // namespace cowslipknot::gateway
