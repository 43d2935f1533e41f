#include "cowslipknot/gateway/load_meter.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot::gateway {
namespace {

/// Time constant of the decaying mean.
constexpr double kMeanSeconds = 3.0;
constexpr double kMsPerSecond = 1000;

}  // namespace

void LoadMeter::Decay(Mean& mean, Time now) {
  const double passed =
      std::chrono::duration<double>(now - mean.updated).count();
  mean.servers *= std::exp(-std::max(0.0, passed) / kMeanSeconds);
  mean.updated = now;
}

void LoadMeter::Note(const ServiceId& service, double server_ms, Time now) {
  Mean& mean = m_means[service];
  Decay(mean, now);
  mean.servers += server_ms / kMsPerSecond / kMeanSeconds;
}

std::map<ServiceId, double> LoadMeter::Busy(Time now) {
  std::map<ServiceId, double> busy;
  for (auto& [service, mean] : m_means) {
    Decay(mean, now);
    busy[service] = mean.servers;
  }
  return busy;
}

}  // namespace cowslipknot::gateway
