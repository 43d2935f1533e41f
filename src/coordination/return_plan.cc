#include "cowslipknot/coordination/return_plan.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot {
namespace {

constexpr Milliseconds kTenth(100);
constexpr std::int64_t kTenthsPerSecond = 10;
/// Callers keep to a delay up to this fraction of the time they have left.
constexpr std::int64_t kLatestFraction = 3;
/// A caller that can't be on time returns no sooner than after this fraction,
/// so that its age is known then.
constexpr std::int64_t kEarliestFraction = 4;
/// Callers' times differ by less than this fraction when they begin.
constexpr std::int64_t kUnknownAgeFraction = 5;
constexpr Milliseconds kMinReturnDelay(50);
/// Part of the latency target that is left to a caller that returns.
constexpr std::int64_t kOnTimeFraction = 2;
/// Above this refused share a return so soon would take another's place.
constexpr double kMaxShareForEarlyReturn = 0.5;
/// Room for returns, as a share of what is served: of the most urgent rank, and
/// of the others.
constexpr double kUrgentRoom = 0.5;
constexpr double kOtherRoom = 0.25;

struct ReturnWindow {
  Milliseconds earliest{0};
  Milliseconds latest{0};
};

ReturnWindow WindowOf(const RefusedRequest& request) {
  const Milliseconds latest =
      std::max(kMinReturnDelay, request.time_left / kLatestFraction);
  if (CanBeOnTime(request) && request.refused_share < kMaxShareForEarlyReturn) {
    const Milliseconds on_time = request.target / kOnTimeFraction - request.age;
    return {kMinReturnDelay, std::min(latest, on_time)};
  }
  return {std::max(kMinReturnDelay, request.time_left / kEarliestFraction),
          latest};
}

}  // namespace

bool CanBeOnTime(const RefusedRequest& request) {
  return request.age + kMinReturnDelay < request.target / kOnTimeFraction;
}

Milliseconds KnownAge(Milliseconds full, Milliseconds left) {
  const Milliseconds missing = full - left;
  return missing < full / kUnknownAgeFraction ? Milliseconds(0) : missing;
}

std::uint64_t ReturnPlan::PromisedAround(Tenth tenth) const {
  std::uint64_t promised = 0;
  const auto end = m_promised.upper_bound(tenth);
  for (auto it = m_promised.upper_bound(tenth - kTenthsPerSecond); it != end;
       ++it) {
    promised += it->second;
  }
  return promised;
}

Milliseconds ReturnPlan::Promise(const RefusedRequest& request,
                                 RequestRate served, Time now, UnitDraw draw) {
  const ReturnWindow window = WindowOf(request);
  const Tenth current = now / kTenth;
  m_promised.erase(m_promised.begin(),
                   m_promised.lower_bound(current - kTenthsPerSecond));
  const Tenth first = (now + window.earliest) / kTenth;
  const Tenth last = std::max(first, (now + window.latest) / kTenth);
  const double room =
      served.Count() * (request.urgency.rank == 0 ? kUrgentRoom : kOtherRoom);
  const double room_of_tenth = std::ceil(room / kTenthsPerSecond);
  Tenth chosen = first;
  for (Tenth tenth = first; tenth <= last; ++tenth) {
    const auto promised = static_cast<double>(m_promised[tenth]);
    if (promised < room_of_tenth &&
        static_cast<double>(PromisedAround(tenth) + 1) <= room) {
      chosen = tenth;
      break;
    }
    if (m_promised[tenth] < m_promised[chosen]) chosen = tenth;
  }
  ++m_promised[chosen];
  const Time at = chosen * Time(kTenth) +
                  Time(static_cast<std::int64_t>(
                      draw * static_cast<double>(Time(kTenth).count())));
  return std::clamp(std::chrono::ceil<Milliseconds>(at - now), window.earliest,
                    std::max(window.earliest, window.latest));
}

}  // namespace cowslipknot
