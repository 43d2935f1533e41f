#include "cowslipknot/gateway/planned_stop.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot::gateway {
namespace {

/// Four buckets for each doubling, from one millisecond to four minutes.
constexpr double kBucketsPerDoubling = 4;
/// Durations are forgotten after one to two of these.
constexpr std::chrono::seconds kGeneration(60);
/// Time to write an answer that is made at the last moment.
constexpr Milliseconds kAnswerMargin(50);
/// A request that is turned away costs its caller an attempt, one that is cut
/// off may cost the result.
constexpr double kMaxShareCutOff = 0.02;
/// A request is expected to end within so many latency targets.
constexpr int kExpectedTargets = 2;
/// The target counts as much as so many requests that met it.
constexpr double kTargetWeight = 49;

}  // namespace

std::size_t RequestDurations::BucketOf(Milliseconds duration) {
  const double ms = std::max(1.0, static_cast<double>(duration.count()));
  const double bucket = std::floor(std::log2(ms) * kBucketsPerDoubling);
  return std::min(kBuckets - 1, static_cast<std::size_t>(bucket));
}

void RequestDurations::DropOld(Time now) {
  const Time age = now - m_current_since;
  if (age < kGeneration) return;
  m_previous = age < 2 * kGeneration ? std::move(m_current) : Histograms();
  m_current.clear();
  m_current_since = now;
}

void RequestDurations::Record(const RouteId& route, Milliseconds duration,
                              Time now) {
  DropOld(now);
  ++m_current[route][BucketOf(duration)];
}

DurationCount RequestDurations::Count(const RouteId& route, Milliseconds limit,
                                      Time now) {
  DropOld(now);
  const std::size_t first_longer = BucketOf(limit);
  DurationCount count;
  for (const Histograms* generation : {&m_current, &m_previous}) {
    const auto found = generation->find(route);
    if (found == generation->end()) continue;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      count.all += found->second[i];
      if (i >= first_longer) count.longer += found->second[i];
    }
  }
  return count;
}

bool MayEndBeforeStop(const Route& route, const StopForecast& forecast) {
  if (forecast.until_limit + kAnswerMargin <= forecast.until_end) return true;
  const bool target_fits =
      route.kind != RouteKind::kStream &&
      kExpectedTargets * route.latency_target <= forecast.until_end;
  const double known = forecast.recent.all + (target_fits ? kTargetWeight : 0);
  // The next duration exceeds all n known ones with probability 1 / (n + 1).
  return (forecast.recent.longer + 1) / (known + 1) <= kMaxShareCutOff;
}

}  // namespace cowslipknot::gateway
