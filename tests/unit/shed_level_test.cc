#include "cowslipknot/coordination/shed_level.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

#include "cowslipknot/coordination/return_plan.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

using Time = std::chrono::nanoseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kNow(100);
constexpr Milliseconds kTarget(1000);
constexpr std::uint32_t kClasses = 3;

/// What a server does with an attempt.
enum class Fate : std::uint8_t { kInTime, kLate, kRefused, kLost };

ShedLevel MakeLevel(std::uint32_t classes = kClasses) {
  ShedLevel level;
  level.SetClasses(classes);
  return level;
}

/// Attempts at 50 a second for some seconds; the fate depends on their number.
Time Attempt(ShedLevel& level, Time from, seconds length,
             const std::function<Fate(int)>& fate) {
  constexpr milliseconds kInterval(20);
  int number = 0;
  Time now = from;
  for (; now < from + length; now += kInterval) {
    const auto attempt = level.RecordSent(kTarget, now);
    switch (fate(number++)) {
      case Fate::kInTime:
        level.RecordFirstEvent(attempt, now + milliseconds(5));
        break;
      case Fate::kRefused:
        level.RecordRefused(attempt, now + milliseconds(5));
        break;
      case Fate::kLost:
        level.Forget(attempt, now + milliseconds(5));
        break;
      case Fate::kLate:
        break;
    }
    level.Update(now + milliseconds(5));
  }
  return now;
}

Fate HalfRefused(int number) {
  return number % 2 == 0 ? Fate::kRefused : Fate::kInTime;
}

std::vector<double> Shares(const ShedLevel& level) {
  std::vector<double> shares;
  for (std::uint32_t rank = 0; rank < kClasses; ++rank) {
    shares.push_back(level.RefusedShare({rank, kClasses}));
  }
  return shares;
}

RefusedRequest MakeRefused(std::uint32_t rank, double share,
                           Milliseconds age = Milliseconds(0)) {
  RefusedRequest request;
  request.urgency = {rank, kClasses};
  request.target = kTarget;
  request.age = age;
  request.time_left = Milliseconds(12000) - age;
  request.refused_share = share;
  return request;
}

}  // namespace

Test(shed_level, without_refusals_nothing_is_refused_however_late_answers_are) {
  ShedLevel level = MakeLevel();
  Attempt(level, kNow, seconds(10), [](int number) {
    return number % 3 == 0 ? Fate::kInTime : Fate::kLate;
  });
  cr_expect_eq(Shares(level), (std::vector<double>{0, 0, 0}));
}

Test(shed_level, one_server_in_ten_that_refuses_is_no_shortage) {
  ShedLevel level = MakeLevel();
  Attempt(level, kNow, seconds(10), [](int number) {
    return number % 10 == 0 ? Fate::kRefused : Fate::kInTime;
  });
  cr_expect_eq(Shares(level), (std::vector<double>{0, 0, 0}));
}

Test(shed_level, a_single_refusal_at_an_instance_with_little_load_is_none) {
  ShedLevel level = MakeLevel();
  Time now = kNow;
  for (int i = 0; i < 40; ++i, now += milliseconds(200)) {
    const auto attempt = level.RecordSent(kTarget, now);
    if (i % 10 == 0) {
      level.RecordRefused(attempt, now + milliseconds(50));
    } else {
      level.RecordFirstEvent(attempt, now + milliseconds(50));
    }
    level.Update(now + milliseconds(60));
    cr_assert_eq(Shares(level)[2], 0);
  }
}

Test(shed_level, an_instance_with_five_requests_a_second_notices_a_shortage) {
  ShedLevel level = MakeLevel();
  Time now = kNow;
  for (int i = 0; i < 20; ++i, now += milliseconds(200)) {
    const auto attempt = level.RecordSent(kTarget, now);
    level.RecordRefused(attempt, now + milliseconds(50));
    level.Update(now + milliseconds(60));
  }
  cr_expect_gt(Shares(level)[2], 0.5);
}

Test(shed_level, crashed_servers_are_no_shortage) {
  ShedLevel level = MakeLevel();
  Attempt(level, kNow, seconds(10), [](int number) {
    return number % 2 == 0 ? Fate::kLost : Fate::kInTime;
  });
  cr_expect_eq(Shares(level), (std::vector<double>{0, 0, 0}));
}

Test(shed_level,
     half_of_the_servers_leave_under_a_burst_the_least_urgent_go_first) {
  ShedLevel level = MakeLevel();
  bool urgent_waited = true;
  Time now = kNow;
  for (int step = 0; step < 5; ++step) {
    now = Attempt(level, now, seconds(1), HalfRefused);
    const auto shares = Shares(level);
    urgent_waited = urgent_waited && shares[0] <= shares[1] &&
                    shares[1] <= shares[2] &&
                    (shares[0] == 0 || shares[1] == kMaxRefusedShare);
  }
  cr_expect(urgent_waited);
  cr_expect_gt(Shares(level)[2], 0.5);
}

Test(shed_level, however_long_a_shortage_lasts_a_quarter_of_each_rank_is_sent) {
  ShedLevel level = MakeLevel();
  Attempt(level, kNow, seconds(60), [](int) { return Fate::kRefused; });
  cr_expect_eq(Shares(level), std::vector<double>(kClasses, kMaxRefusedShare));
}

Test(shed_level, late_answers_raise_the_level_once_servers_refuse) {
  ShedLevel level = MakeLevel();
  Time now = Attempt(level, kNow, seconds(1), HalfRefused);
  const double before = level.Update(now);
  now = Attempt(level, now, seconds(2), [](int) { return Fate::kLate; });
  cr_expect_gt(level.Update(now), before);
}

Test(shed_level, it_ends_after_the_shortage_also_without_requests) {
  ShedLevel level = MakeLevel();
  Time now =
      Attempt(level, kNow, seconds(5), [](int) { return Fate::kRefused; });
  now = Attempt(level, now, seconds(1), [](int) { return Fate::kInTime; });
  cr_expect_gt(level.Update(now), 0);
  cr_expect_eq(level.Update(now + seconds(20)), 0);
}

Test(shed_level, routes_of_one_priority_are_never_refused) {
  ShedLevel level = MakeLevel(1);
  Attempt(level, kNow, seconds(5), [](int) { return Fate::kRefused; });
  level.Average(3);
  cr_expect_eq(level.RefusedShare({0, 1}), 0);
}

Test(shed_level, a_caller_that_returns_in_time_has_its_room_kept) {
  ShedLevel level = MakeLevel();
  Attempt(level, kNow, seconds(60), [](int) { return Fate::kRefused; });
  cr_expect_eq(level.RefusedShareOfReturn({0, kClasses}), 0);
  cr_expect_eq(level.RefusedShareOfReturn({1, kClasses}),
               level.RefusedShare({0, kClasses}));
}

Test(shed_level, instances_that_exchange_levels_come_to_refuse_alike) {
  // One of 80 instances in four meets the servers that refuse.
  std::vector<ShedLevel> levels(80, MakeLevel());
  for (std::size_t i = 0; i < levels.size(); ++i) {
    if (i % 4 == 0) Attempt(levels[i], kNow, seconds(2), HalfRefused);
  }
  std::mt19937_64 random(17);
  for (int round = 0; round < 8; ++round) {
    for (std::size_t i = 0; i < levels.size(); ++i) {
      const std::size_t peer = random() % levels.size();
      const double own = levels[i].Update(kNow + seconds(2));
      const double other = levels[peer].Update(kNow + seconds(2));
      levels[peer].Average(own);
      levels[i].Average(other);
    }
  }
  std::vector<double> last;
  last.reserve(levels.size());
  for (auto& level : levels) last.push_back(level.Update(kNow + seconds(2)));
  const auto [lowest, highest] = std::minmax_element(last.begin(), last.end());
  cr_expect_gt(*lowest, 0);
  cr_expect_lt(*highest - *lowest, 0.1);
}

Test(shed_level, a_wrong_level_of_another_instance_is_bounded) {
  ShedLevel level = MakeLevel();
  level.Average(std::numeric_limits<double>::quiet_NaN());
  cr_expect_eq(level.RefusedShare({2, kClasses}), 0);
  level.Average(1e12);
  cr_expect_eq(level.RefusedShare({0, kClasses}), kMaxRefusedShare);
  level.SetClasses(2);
  cr_expect_leq(level.Update(kNow), 2);
}

Test(return_plan, a_burst_of_refusals_is_told_to_return_within_the_room) {
  // 200 urgent requests are refused at once; 40 a second are served.
  ReturnPlan plan;
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 200; ++i) {
    const auto delay = plan.Promise(MakeRefused(0, 0.7), RequestRate(40), kNow,
                                    static_cast<double>(i % 10) / 10);
    cr_assert_leq(delay.count(), 4000);
    cr_assert_geq(delay.count(), 3000);
    ++returns[delay / Milliseconds(100)];
  }
  // Beyond the room they are spread evenly.
  for (const auto& [tenth, count] : returns) cr_expect_leq(count, 25);
  cr_expect_geq(returns.size(), 10u);
}

Test(return_plan, returns_keep_to_half_of_what_is_served_while_there_is_room) {
  ReturnPlan plan;
  std::map<std::int64_t, int> returns;
  for (int i = 0; i < 20; ++i) {
    const auto delay =
        plan.Promise(MakeRefused(0, 0.7), RequestRate(40), kNow, 0);
    ++returns[delay / Milliseconds(100)];
  }
  for (const auto& [tenth, count] : returns) cr_expect_leq(count, 2);
}

Test(return_plan, a_caller_that_can_be_on_time_returns_before_one_that_cannot) {
  ReturnPlan plan;
  const auto young =
      plan.Promise(MakeRefused(0, 0.1), RequestRate(40), kNow, 0.5);
  const auto old = plan.Promise(MakeRefused(0, 0.1, Milliseconds(2000)),
                                RequestRate(40), kNow, 0.5);
  cr_expect_leq(young.count(), kTarget.count() / 2);
  cr_expect_gt(old.count(), kTarget.count());
}

Test(return_plan, the_most_urgent_have_more_room) {
  ReturnPlan urgent;
  ReturnPlan other;
  Milliseconds last_urgent{0};
  Milliseconds last_other{0};
  for (int i = 0; i < 10; ++i) {
    last_urgent = urgent.Promise(MakeRefused(0, 0.7), RequestRate(40), kNow, 0);
    last_other = other.Promise(MakeRefused(2, 0.7), RequestRate(40), kNow, 0);
  }
  cr_expect_lt(last_urgent.count(), last_other.count());
}

Test(return_plan, a_delay_is_one_that_callers_keep_to) {
  ReturnPlan plan;
  for (int left = 0; left < 3000; left += 50) {
    RefusedRequest request = MakeRefused(1, 0.7);
    request.time_left = Milliseconds(left);
    const auto delay = plan.Promise(request, RequestRate(0), kNow, 0.9);
    cr_expect_gt(delay.count(), 0);
    cr_expect_leq(delay.count(), std::max(50, left / 3));
  }
}

Test(return_plan, the_age_of_a_caller_is_known_when_it_returns_as_told) {
  // Callers of a route of 12 s begin with 85 to 100 in 100 of it.
  ReturnPlan plan;
  for (int first = 10200; first <= 12000; first += 100) {
    cr_expect_eq(KnownAge(Milliseconds(12000), Milliseconds(first)).count(), 0);
    RefusedRequest request = MakeRefused(0, 0.7);
    request.time_left = Milliseconds(first);
    const auto left =
        request.time_left - plan.Promise(request, RequestRate(40), kNow, 0.5);
    cr_expect_gt(KnownAge(Milliseconds(12000), left), kTarget);
  }
}
