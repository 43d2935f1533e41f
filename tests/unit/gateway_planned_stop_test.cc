#include <rapidcheck.h>

#include "cowslipknot/gateway/planned_stop.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = std::chrono::nanoseconds;

constexpr Time kNow = std::chrono::seconds(1000);
constexpr Milliseconds kLongLimit(15000);

Route MakeRoute(RouteKind kind, Milliseconds target) {
  Route route;
  route.name = RouteId("r");
  route.kind = kind;
  route.latency_target = target;
  return route;
}

const Route kPlain = MakeRoute(RouteKind::kUnsafe, Milliseconds(500));
const Route kStream = MakeRoute(RouteKind::kStream, Milliseconds(500));

bool MayServe(const Route& route, RequestDurations& durations,
              Milliseconds until_end, Milliseconds until_limit,
              Time now = kNow) {
  StopForecast forecast;
  forecast.until_end = until_end;
  forecast.until_limit = until_limit;
  forecast.recent = durations.Count(route.name, until_end, now);
  return MayEndBeforeStop(route, forecast);
}

void Record(RequestDurations& durations, int count, int duration_ms) {
  for (int i = 0; i < count; ++i) {
    durations.Record(kPlain.name, Milliseconds(duration_ms), kNow);
  }
}

}  // namespace

Test(planned_stop, a_request_whose_limit_fits_is_served_whatever_is_known) {
  RequestDurations durations;
  Record(durations, 100, 9000);
  for (const Route& route : {kPlain, kStream}) {
    cr_expect(MayServe(route, durations, Milliseconds(900), Milliseconds(850)));
    cr_expect_not(
        MayServe(route, durations, Milliseconds(900), Milliseconds(851)));
  }
}

// Guards against sending a request of unknown duration that may be cut off.
Test(planned_stop, a_request_of_unknown_duration_is_judged_by_its_target) {
  RequestDurations durations;
  cr_expect(MayServe(kPlain, durations, Milliseconds(1000), kLongLimit));
  cr_expect_not(MayServe(kPlain, durations, Milliseconds(999), kLongLimit));
}

// The target of a stream says nothing of its end.
Test(planned_stop, a_stream_of_unknown_duration_is_judged_by_its_limit) {
  RequestDurations durations;
  cr_expect(MayServe(kStream, durations, Milliseconds(5000), kLongLimit));
  cr_expect_not(MayServe(kStream, durations, Milliseconds(4999), kLongLimit));
  Record(durations, 8, 10);
  cr_expect_not(MayServe(kStream, durations, Milliseconds(4999), kLongLimit));
  Record(durations, 1, 10);
  cr_expect(MayServe(kStream, durations, Milliseconds(4999), kLongLimit));
}

Test(planned_stop, a_few_long_requests_outweigh_the_target) {
  RequestDurations durations;
  Record(durations, 3, 4000);
  cr_expect_not(MayServe(kPlain, durations, Milliseconds(2000), kLongLimit));
  cr_expect(MayServe(kPlain, durations, Milliseconds(5000), kLongLimit));
}

Test(planned_stop, a_request_is_turned_away_once_too_many_like_it_take_longer) {
  RequestDurations durations;
  Record(durations, 17, 100);
  Record(durations, 1, 4000);
  cr_expect(MayServe(kStream, durations, Milliseconds(5000), kLongLimit));
  cr_expect_not(MayServe(kStream, durations, Milliseconds(3000), kLongLimit));
  Record(durations, 1, 100);
  cr_expect(MayServe(kStream, durations, Milliseconds(3000), kLongLimit));
  cr_expect_not(MayServe(kStream, durations, Milliseconds(80), kLongLimit));
}

Test(planned_stop, a_request_whose_outcome_would_be_unknown_risks_less) {
  RequestDurations durations;
  Record(durations, 48, 100);
  cr_expect_not(MayServe(kPlain, durations, Milliseconds(900), kLongLimit));
  cr_expect(MayServe(kStream, durations, Milliseconds(900), kLongLimit));
  Record(durations, 1, 100);
  cr_expect(MayServe(kPlain, durations, Milliseconds(900), kLongLimit));
}

Test(planned_stop, routes_are_judged_apart) {
  RequestDurations durations;
  durations.Record(RouteId("other"), Milliseconds(10), kNow);
  cr_expect_eq(durations.Count(kPlain.name, Milliseconds(1), kNow).all, 0);
}

Test(planned_stop, durations_are_forgotten) {
  RequestDurations durations;
  Record(durations, 200, 10);
  const auto count = [&durations](int seconds) {
    return durations
        .Count(kPlain.name, Milliseconds(1),
               kNow + std::chrono::seconds(seconds))
        .all;
  };
  cr_expect_eq(count(61), 200);
  cr_expect_eq(count(122), 0);
}

Test(planned_stop, the_longer_requests_are_never_counted_too_low) {
  rc::check([] {
    const auto values =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400000));
    const auto limit = *rc::gen::inRange(0, 400000);
    RequestDurations durations;
    double longer = 0;
    for (const int value : values) {
      durations.Record(kPlain.name, Milliseconds(value), kNow);
      if (value > limit) ++longer;
    }
    const auto count = durations.Count(kPlain.name, Milliseconds(limit), kNow);
    RC_ASSERT(count.longer >= longer);
    RC_ASSERT(count.longer <= count.all);
    RC_ASSERT(count.all == static_cast<double>(values.size()));
  });
}
