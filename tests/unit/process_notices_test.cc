#include "cowslipknot/gateway/process_notices.h"

#include <rapidcheck.h>

#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/state/unlisted_servers.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = AnswerTimes::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kListed = seconds(1000);
constexpr Time kEnd = kListed + seconds(20);       ///< of the former process
constexpr Time kStart = kEnd + milliseconds(250);  ///< of the next one
constexpr Time kNextListed = kStart + seconds(1);

AnswerTimes At(Time opened, Time sent) {
  return {opened, sent, sent + milliseconds(30)};
}

ProcessNotice Pause(const AnswerTimes& times) {
  ProcessNotice notice;
  notice.times = times;
  notice.paused_until = times.read + seconds(12);
  return notice;
}

}  // namespace

Test(process_notices, an_answer_after_a_lost_connection_is_of_the_next) {
  ProcessNotices former(kListed);
  former.RecordLost(kListed + seconds(5));
  const auto answer = At(kStart + milliseconds(50), kStart + milliseconds(50));
  // The server's clock may be wrong by any time.
  for (const Time skew :
       {Time(0), Time(seconds(5)), Time(-seconds(5)), Time(seconds(7200)),
        Time(-seconds(7200)), Time(-std::chrono::hours(24 * 365))}) {
    cr_expect(former.IsOfNext(answer, kStart + skew, kNextListed));
  }
}

Test(process_notices, an_answer_on_a_lost_connection_is_not_of_the_next) {
  ProcessNotices former(kListed);
  const Time opened = kListed + seconds(5);
  former.RecordLost(opened);
  const auto answer = At(opened, kEnd - milliseconds(100));
  for (const Time skew : {Time(0), Time(-seconds(5)), Time(seconds(5))})
    cr_expect_not(former.IsOfNext(answer, kStart + skew, kNextListed));
}

Test(process_notices, without_a_lost_connection_the_start_time_decides) {
  const ProcessNotices former(kListed);
  const auto before = At(kListed, kEnd - milliseconds(100));
  const auto after = At(kStart, kStart + milliseconds(100));
  cr_expect_not(former.IsOfNext(before, kStart, kNextListed));
  cr_expect(former.IsOfNext(after, kStart, kNextListed));
  // Start times that can't be right say nothing.
  cr_expect_not(former.IsOfNext(after, kNextListed + seconds(1), kNextListed));
  cr_expect_not(former.IsOfNext(after, kListed - seconds(3600), kNextListed));
}

Test(process_notices, a_start_time_well_after_an_answer_refutes_a_connection) {
  ProcessNotices former(kListed);
  former.RecordLost(kListed + seconds(1));  // not the end of the process
  const auto answer = At(kListed + seconds(2), kListed + seconds(3));
  cr_expect_not(former.IsOfNext(answer, kStart, kNextListed));
}

Test(process_notices, only_notices_of_the_next_process_are_passed_on) {
  ProcessNotices former(kListed);
  former.Add(Pause(At(kListed, kEnd - seconds(5))));
  former.RecordLost(kListed);
  former.Add(Pause(At(kStart, kStart)));
  const auto notices = former.OfNext(kStart, kNextListed);
  cr_assert_eq(notices.size(), 1u);
  cr_expect_eq(notices[0].times.sent.count(), kStart.count());
}

Test(process_notices, a_process_that_was_never_listed_passes_nothing_on) {
  ProcessNotices former(kListed);
  former.RecordLost(kListed);
  const Time opened = kEnd + milliseconds(100);
  former.Add(Pause(At(opened, opened)));
  former.RecordLost(opened);
  cr_expect(former.OfNext(kStart, kNextListed).empty());
}

Test(process_notices, the_end_of_a_limit_is_kept_after_its_beginning_only) {
  ProcessNotices former(kListed);
  ProcessNotice notice;
  notice.times = At(kStart, kStart);
  notice.limit.emplace();
  former.Add(notice);
  cr_expect_eq(former.Size(), 0u);
  notice.limit->limit = RequestRate(2);
  former.Add(notice);
  notice.limit->limit.reset();
  former.Add(notice);
  cr_expect_eq(former.Size(), 2u);
}

Test(process_notices, frequent_waits_displace_no_statement) {
  ProcessNotices former(kListed);
  former.RecordLost(kListed);
  former.Add(Pause(At(kStart, kStart)));
  for (int i = 0; i < 10000; ++i) {
    ProcessNotice wait;
    wait.times = At(kStart, kStart);
    wait.excess_wait_ms = 100;
    former.Add(wait);
  }
  cr_expect_leq(former.Size(), 64u);
  const auto notices = former.OfNext(kStart, kNextListed);
  cr_assert_not(notices.empty());
  cr_expect(notices[0].paused_until.has_value());
}

Test(process_notices, memory_is_bounded_whatever_servers_say) {
  rc::check([] {
    ProcessNotices former(kListed);
    const auto count = *rc::gen::inRange(0, 500);
    for (int i = 0; i < count; ++i) {
      ProcessNotice notice = Pause(At(Time(i), Time(i)));
      notice.is_leaving = *rc::gen::arbitrary<bool>();
      notice.limit.emplace();
      former.Add(notice);
      if (*rc::gen::inRange(0, 4) == 0) former.RecordLost(Time(i));
    }
    RC_ASSERT(former.Size() <= 64u);
    RC_ASSERT(former.OfNext(kStart, kNextListed).size() <= former.Size());
  });
}

Test(process_notices, waits_of_a_process_count_once_it_is_listed) {
  BackendState next{TokenCount(0)};
  cr_expect_float_eq(next.LagMs(kNextListed), 0, 1e-9);
  next.RecordExcessWait(1000, kNextListed);
  cr_expect_gt(next.LagMs(kNextListed), 100);
}

Test(unlisted_servers, the_former_process_is_the_latest_one_at_the_address) {
  UnlistedServers<int> unlisted;
  const ServerId id("a");
  const Endpoint address{"127.0.0.1", 1};
  unlisted.Add({id, 5}, address, 5);
  unlisted.Add({id, 6}, address, 6);
  unlisted.Add({ServerId("b"), 7}, address, 7);
  cr_expect_eq(unlisted.FindFormer({id, 8}, address).value_or(0), 6);
  cr_expect_not(unlisted.FindFormer({id, 5}, address).has_value());
  cr_expect_not(
      unlisted.FindFormer({id, 8}, Endpoint{"127.0.0.1", 2}).has_value());
}
