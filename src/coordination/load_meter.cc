#include "cowslipknot/gateway/load_meter.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot::gateway {
namespace {

/// Time constant of the exponential moving average.
constexpr double kTimeConstantSeconds = 3.0;
constexpr double kMsPerSecond = 1000;

}  // namespace

void LoadMeter::Decay(MovingAverage& average, Time now) {
  const double elapsed =
      std::chrono::duration<double>(now - average.updated).count();
  average.servers *= std::exp(-std::max(0.0, elapsed) / kTimeConstantSeconds);
  average.updated = now;
}

void LoadMeter::Record(const ServiceId& service, double server_ms, Time now) {
  MovingAverage& average = m_averages[service];
  Decay(average, now);
  average.servers += server_ms / kMsPerSecond / kTimeConstantSeconds;
}

std::map<ServiceId, double> LoadMeter::BusyServers(Time now) {
  std::map<ServiceId, double> busy;
  for (auto& [service, average] : m_averages) {
    Decay(average, now);
    busy[service] = average.servers;
  }
  return busy;
}

}  // namespace cowslipknot::gateway
