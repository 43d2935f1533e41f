#include "cowslipknot/coordination/server_limit.h"

#include <limits>

#include "serve/limit_codec.h"
#include "unit_test.h"

using namespace cowslipknot;
using std::chrono::milliseconds;

namespace {

using Time = LimitStatement::Time;

LimitStatement Limited(double per_s, milliseconds sent, milliseconds read) {
  return {RequestRate(per_s), sent, read};
}

LimitStatement Unlimited(milliseconds sent, milliseconds read) {
  return {std::nullopt, sent, read};
}

}  // namespace

Test(server_limit, a_limit_is_taken_as_stated_within_bounds) {
  cr_expect_eq(BoundLimit(1.25)->limit.Count(), 1.25);
  cr_expect_not(BoundLimit(1.25)->is_adjusted);
  cr_expect_not(BoundLimit(0)->is_adjusted);
  for (const double value : {-0.5, -std::numeric_limits<double>::infinity()}) {
    cr_expect_eq(BoundLimit(value)->limit.Count(), 0);
    cr_expect(BoundLimit(value)->is_adjusted);
  }
  for (const double value : {1e9, std::numeric_limits<double>::infinity()}) {
    cr_expect_eq(BoundLimit(value)->limit.Count(), kMaxServerLimit.Count());
    cr_expect(BoundLimit(value)->is_adjusted);
  }
  cr_expect_not(
      BoundLimit(std::numeric_limits<double>::quiet_NaN()).has_value());
}

Test(server_limit, a_later_statement_replaces_an_earlier_one) {
  const auto known = Limited(2, milliseconds(100), milliseconds(110));
  cr_expect(Supersedes(Limited(3, milliseconds(90), milliseconds(111)), known));
  cr_expect_not(
      Supersedes(Limited(3, milliseconds(90), milliseconds(109)), known));
  cr_expect(Supersedes(Limited(3, milliseconds(1), milliseconds(2)),
                       LimitStatement()));
}

// Guards against a limit that ends with an answer which was on its way when the
// limit began.
Test(server_limit, an_answer_sent_for_before_does_not_end_a_limit) {
  const auto known = Limited(2, milliseconds(100), milliseconds(110));
  cr_expect_not(
      Supersedes(Unlimited(milliseconds(105), milliseconds(115)), known));
  cr_expect(Supersedes(Unlimited(milliseconds(111), milliseconds(115)), known));
}

Test(server_limit, a_late_statement_does_not_begin_a_limit_anew) {
  const auto ended = Unlimited(milliseconds(111), milliseconds(120));
  cr_expect_not(
      Supersedes(Limited(2, milliseconds(100), milliseconds(115)), ended));
}

Test(server_limit, callers_return_at_the_rate_of_the_limit) {
  ReturnQueue queue;
  const Time now = std::chrono::seconds(100);
  cr_expect_eq(queue.Join(RequestRate(4), now).count(),
               Time(milliseconds(250)).count());
  cr_expect_eq(queue.Join(RequestRate(4), now).count(),
               Time(milliseconds(500)).count());
  for (int i = 0; i < 100; ++i) queue.Join(RequestRate(4), now);
  cr_expect_leq(queue.Join(RequestRate(0), now).count(),
                Time(std::chrono::seconds(3)).count());
}

Test(server_limit, a_statement_passes_between_instances_as_ages) {
  const Time here = std::chrono::seconds(50);
  const Time there = std::chrono::seconds(9000);
  const LimitStatement statement{RequestRate(1.5), here - milliseconds(30),
                                 here - milliseconds(10)};
  const auto packed = PackLimit({ServerId("s1"), 7}, statement, here);
  const auto received = UnpackLimit(*packed, there);
  cr_assert(received.has_value());
  cr_expect_eq(received->start.server.Text(), "s1");
  cr_expect_eq(received->start.started_ms, 7);
  cr_expect_eq(received->statement.limit->Count(), 1.5);
  cr_expect_eq((there - received->statement.sent).count(),
               Time(milliseconds(30)).count());
  cr_expect_eq((there - received->statement.read).count(),
               Time(milliseconds(10)).count());
}

Test(server_limit, a_statement_out_of_range_is_rejected) {
  const Time now = std::chrono::seconds(50);
  const auto is_accepted = [now](const auto& damage) {
    auto packed = PackLimit({ServerId("s1"), 7},
                            Limited(1, milliseconds(1), milliseconds(2)), now);
    damage(*packed);
    return UnpackLimit(*packed, now).has_value();
  };
  using Packed = wire::LimitStatementT;
  cr_expect(is_accepted([](Packed&) {}));
  cr_expect_not(is_accepted([](Packed& packed) { packed.server.clear(); }));
  for (const double per_s : {-1.0, 1e9, std::nan("")}) {
    cr_expect_not(
        is_accepted([per_s](Packed& packed) { packed.per_s = per_s; }));
  }
  cr_expect_not(is_accepted([](Packed& packed) {
    packed.sent_age_us = std::numeric_limits<std::uint64_t>::max();
  }));
  cr_expect_not(is_accepted(
      [](Packed& packed) { packed.read_age_us = packed.sent_age_us + 1; }));
}

// Guards against a limit that ends by what an instance that has read none says:
// its ages would count from the start of its machine.
Test(server_limit, an_instance_that_has_read_no_statement_ends_no_limit) {
  const auto own_uptime = std::chrono::seconds(5);
  const auto other_uptime = std::chrono::hours(10);
  const auto packed = PackLimit({ServerId("s1"), 7}, {}, own_uptime);
  const auto received = UnpackLimit(*packed, other_uptime);
  cr_assert(received.has_value());
  const milliseconds read = other_uptime - std::chrono::seconds(8);
  cr_expect_not(Supersedes(received->statement, Limited(0, read, read)));
  cr_expect_not(Supersedes(received->statement, {}));
}
