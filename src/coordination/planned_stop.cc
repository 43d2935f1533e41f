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
/// Largest accepted risk that a request is cut off. One that is turned away
/// costs its caller an attempt, and may meet other instances that stop; one
/// that is cut off costs the result, and its outcome is unknown if it is not
/// repeatable.
constexpr double kMaxCutOffRisk = 0.1;
constexpr double kMaxUnknownOutcomeRisk = 0.02;
/// A request like none before is expected to end within so many latency
/// targets, a stream within this fraction of its limit.
constexpr int kExpectedTargets = 2;
constexpr int kExpectedLimitFraction = 3;

Milliseconds ExpectedDuration(const Route& route, Milliseconds until_limit) {
  if (route.kind == RouteKind::kStream) {
    return until_limit / kExpectedLimitFraction;
  }
  return kExpectedTargets * route.latency_target;
}

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
  const double max_risk = route.kind == RouteKind::kUnsafe
                              ? kMaxUnknownOutcomeRisk
                              : kMaxCutOffRisk;
  // An expectation that fits counts as the fewest requests that suffice.
  const double expected =
      ExpectedDuration(route, forecast.until_limit) <= forecast.until_end
          ? 1 / max_risk - 1
          : 0;
  // The next duration exceeds all n known ones with probability 1 / (n + 1).
  return forecast.recent.longer + 1 <=
         max_risk * (forecast.recent.all + expected + 1);
}

}  // namespace cowslipknot::gateway
