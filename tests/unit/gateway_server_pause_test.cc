#include <rapidcheck.h>

#include <limits>

#include "cowslipknot/gateway/server_pause.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr std::chrono::nanoseconds kNow = std::chrono::seconds(100);
constexpr Milliseconds kUsual(400);

std::vector<Backend> MakeBackends(std::size_t count) {
  std::vector<Backend> backends(count);
  for (std::size_t i = 0; i < count; ++i) {
    backends[i].entry.id = ServerId("s" + std::to_string(i));
    backends[i].state = std::make_shared<BackendState>(TokenCount(1000));
  }
  return backends;
}

bool IsSelectable(const std::vector<Backend>& backends,
                  std::chrono::nanoseconds now) {
  PlacementContext context;
  context.now = now;
  return SelectBackend(PlacementRequest(), backends, context).has_value();
}

}  // namespace

Test(server_pause, a_pause_is_taken_as_stated_up_to_a_limit) {
  cr_expect_eq(BoundPause(1.25).length.count(), 1250);
  cr_expect_not(BoundPause(1.25).is_adjusted);
  cr_expect_eq(BoundPause(0.0001).length.count(), 1);
  cr_expect_eq(BoundPause(300).length.count(), 300000);
  for (const double seconds : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                               -std::numeric_limits<double>::infinity()}) {
    cr_expect_eq(BoundPause(seconds).length.count(), 0);
    cr_expect(BoundPause(seconds).is_adjusted);
  }
  for (const double seconds :
       {300.1, 86400.0, std::numeric_limits<double>::infinity()}) {
    cr_expect_eq(BoundPause(seconds).length.count(), 300000);
    cr_expect(BoundPause(seconds).is_adjusted);
  }
}

// Guards against requests sent to a server that wants none for a while.
Test(server_pause,
     a_server_gets_no_request_until_the_latest_end_of_its_pauses) {
  const auto backends = MakeBackends(1);
  BackendState& state = *backends[0].state;
  state.RecordPause(kNow + std::chrono::seconds(3));
  state.RecordPause(kNow + std::chrono::seconds(1));
  cr_expect_not(IsSelectable(backends, kNow));
  cr_expect_not(IsSelectable(backends, kNow + std::chrono::milliseconds(2999)));
  cr_expect(IsSelectable(backends, kNow + std::chrono::seconds(3)));
}

Test(server_pause, callers_return_after_the_first_pause_has_ended) {
  cr_assert(rc::check([] {
    const auto backends = MakeBackends(3);
    const auto first_ms = *rc::gen::inRange(1, 5000);
    for (int i = 0; i < 3; ++i) {
      backends[static_cast<std::size_t>(i)].state->RecordPause(
          kNow + std::chrono::milliseconds(first_ms + i * 100));
    }
    const double draw = *rc::gen::inRange(0, 1000) / 1000.0;
    const auto delay = CallerRetryDelay(backends, kNow, kUsual, draw);
    RC_ASSERT(delay.count() >= first_ms);
    RC_ASSERT(delay.count() <=
              first_ms + std::max<std::int64_t>(kUsual.count(), first_ms));
  }));
}

Test(server_pause, callers_return_spread_out) {
  const auto backends = MakeBackends(1);
  backends[0].state->RecordPause(kNow + std::chrono::seconds(2));
  const auto first = CallerRetryDelay(backends, kNow, kUsual, 0);
  const auto last = CallerRetryDelay(backends, kNow, kUsual, 0.99);
  cr_expect_eq(first.count(), 2000);
  cr_expect_geq((last - first).count(), 900);
}

// Guards against requests for a limited server that gets none for now.
Test(server_pause, a_withheld_server_is_not_selected_until_its_limit_ends) {
  const auto backends = MakeBackends(1);
  BackendState& state = *backends[0].state;
  state.RecordLimit(RequestRate(2));
  cr_expect(IsSelectable(backends, kNow));
  state.Withhold(kNow + std::chrono::seconds(1));
  cr_expect_not(IsSelectable(backends, kNow));
  cr_expect(IsSelectable(backends, kNow + std::chrono::seconds(1)));
  state.RecordLimit(std::nullopt);
  cr_expect(IsSelectable(backends, kNow));
}

Test(server_pause, a_limited_server_can_be_left_out) {
  const auto backends = MakeBackends(2);
  backends[0].state->RecordLimit(RequestRate(2));
  PlacementRequest request;
  request.excludes_limited = true;
  const auto selected = SelectBackend(request, backends, PlacementContext());
  cr_expect_eq(selected->index, 1);
}

Test(server_pause, callers_return_when_limited_servers_have_room) {
  const auto backends = MakeBackends(2);
  for (const auto& backend : backends)
    backend.state->RecordLimit(RequestRate(2));
  const Milliseconds earliest(1500);
  const auto delay = CallerRetryDelay(backends, kNow, kUsual, 0, earliest);
  cr_expect_eq(delay.count(), 1500);
  backends[0].state->Withhold(kNow + std::chrono::seconds(1));
  cr_expect_eq(CallerRetryDelay(backends, kNow, kUsual, 0).count(), 0);
  backends[1].state->Withhold(kNow + std::chrono::seconds(2));
  cr_expect_eq(CallerRetryDelay(backends, kNow, kUsual, 0).count(), 1000);
}

Test(server_pause, callers_return_as_usual_while_a_server_does_not_pause) {
  const auto backends = MakeBackends(2);
  cr_expect(CallerRetryDelay({}, kNow, kUsual, 0.5) == kUsual);
  backends[0].state->RecordPause(kNow + std::chrono::seconds(2));
  cr_expect(CallerRetryDelay(backends, kNow, kUsual, 0.5) == kUsual);
  backends[1].state->RecordLeaving();
  cr_expect_geq(CallerRetryDelay(backends, kNow, kUsual, 0.5).count(), 2000);
}

// Guards against a server that is left out after its registration is back,
// since it could not be reached while it was missing.
Test(server_pause, a_return_ends_an_ejection_and_no_pause) {
  auto backends = MakeBackends(2);
  for (const auto& backend : backends) {
    for (int i = 0; i < 4; ++i) backend.state->RecordUnreachable(kNow);
    backend.state->RecordReturn();
    cr_expect_not(backend.state->IsEjected(kNow));
  }
  backends[0].state->RecordPause(kNow + std::chrono::seconds(1));
  backends[0].state->RecordReturn();
  cr_expect(backends[0].state->IsPaused(kNow));
  cr_expect_not(backends[1].state->IsPaused(kNow));
}
