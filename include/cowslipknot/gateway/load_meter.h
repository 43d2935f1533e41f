#pragma once

#include <chrono>
#include <map>

#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// Measures how many servers of each service the requests keep busy, as an
/// exponential moving average of the server time that they use. Reads no clock:
/// the time is an argument. Single-threaded.
class LoadMeter {
 public:
  using Time = std::chrono::nanoseconds;

  /// Records the server time used by one request.
  /// @param server_ms  time that the request would take on a server of its own
  void Record(const ServiceId& service, double server_ms, Time now);
  /// Mean number of busy servers of each service.
  std::map<ServiceId, double> BusyServers(Time now);

 private:
  struct MovingAverage {
    double servers = 0;
    Time updated{0};
  };
  static void Decay(MovingAverage& average, Time now);
  std::map<ServiceId, MovingAverage> m_averages;
};

}  // namespace cowslipknot::gateway
