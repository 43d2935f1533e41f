#include "cowslipknot/coordination/server_pause.h"

#include <rapidcheck.h>

#include <cmath>

#include "cowslipknot/coordination/choose_server.h"
#include "protocol/server_notices.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr std::chrono::nanoseconds kNow = std::chrono::seconds(100);

std::vector<ServerView> MakePool(std::size_t count) {
  std::vector<ServerView> servers(count);
  for (std::size_t i = 0; i < count; ++i) {
    servers[i].record.id = ServerId("s" + std::to_string(i));
    servers[i].load = std::make_shared<ServerLoad>();
  }
  return servers;
}

bool IsSelectable(const std::vector<ServerView>& servers,
                  std::chrono::nanoseconds now) {
  ChoiceContext context;
  context.since_boot = now;
  return ChooseServer(RequestCost(), servers, context).has_value();
}

std::optional<double> StatedPause(http::status status, const char* text) {
  http::response_header<> header;
  header.result(status);
  header.set(http::field::retry_after, text);
  return DecodeServerNotices(header, "a").retry_after_s;
}

}  // namespace

Test(pool_pause, a_pause_is_stated_by_a_503_in_seconds_with_fractions) {
  const auto refused = http::status::service_unavailable;
  cr_expect_eq(*StatedPause(refused, "2"), 2.0);
  cr_expect_eq(*StatedPause(refused, "0.25"), 0.25);
  cr_expect_eq(*StatedPause(refused, "-3"), -3.0);
  for (const char* text :
       {"soon", "", "1 s", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    cr_expect(std::isnan(*StatedPause(refused, text)));
  }
  cr_expect_not(StatedPause(http::status::ok, "2").has_value());
  cr_expect_not(StatedPause(http::status::too_many_requests, "2").has_value());
}

// Guards against requests sent to a server that wants none for a while.
Test(pool_pause, a_server_is_not_chosen_until_the_latest_end_of_its_pauses) {
  const auto servers = MakePool(1);
  RecordPause(*servers[0].load, kNow + std::chrono::seconds(3));
  RecordPause(*servers[0].load, kNow + std::chrono::seconds(1));
  cr_expect_not(IsSelectable(servers, kNow));
  cr_expect_not(IsSelectable(servers, kNow + std::chrono::milliseconds(2999)));
  cr_expect(IsSelectable(servers, kNow + std::chrono::seconds(3)));
}

Test(pool_pause, ejected_servers_are_chosen_before_pausing_ones) {
  const auto servers = MakePool(3);
  RecordPause(*servers[0].load, kNow + std::chrono::seconds(1));
  RecordPause(*servers[1].load, kNow + std::chrono::seconds(1));
  for (int i = 0; i < 3; ++i) {
    RecordAttempt(*servers[2].load, false, WallTime(1));
  }
  ChoiceContext context;
  context.since_boot = kNow;
  cr_expect_eq(ChooseServer(RequestCost(), servers, context)->index, 2u);
}

Test(pool_pause, callers_are_told_of_the_first_end_only_while_all_pause) {
  const auto servers = MakePool(3);
  const auto end = kNow + std::chrono::seconds(2);
  cr_expect_not(FirstPauseEnd({}, kNow).has_value());
  RecordPause(*servers[0].load, end + std::chrono::seconds(1));
  RecordPause(*servers[1].load, end);
  cr_expect_not(FirstPauseEnd(servers, kNow).has_value());
  RecordLeaving(*servers[2].load);
  cr_expect(FirstPauseEnd(servers, kNow) == end);
  cr_expect_not(FirstPauseEnd(servers, end).has_value());
}

Test(pool_pause, callers_return_after_the_pause_and_spread_out) {
  cr_assert(rc::check([] {
    const auto left_ms = *rc::gen::inRange(1, 300000);
    const double draw = *rc::gen::inRange(0, 1000) / 1000.0;
    const auto delay =
        SpreadReturn(Milliseconds(left_ms), Milliseconds(1000), draw);
    RC_ASSERT(delay.count() >= left_ms);
    RC_ASSERT(delay.count() <= left_ms + std::max(1000, left_ms));
  }));
  const Milliseconds left(2000);
  const auto first = SpreadReturn(left, Milliseconds(1000), 0);
  const auto last = SpreadReturn(left, Milliseconds(1000), 0.99);
  cr_expect_geq((last - first).count(), 900);
}
