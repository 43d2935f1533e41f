#include "cowslipknot/coordination/warmup.h"

#include <algorithm>
#include <random>
#include <vector>

#include "cowslipknot/coordination/permit_granter.h"
#include "serve/limit_codec.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

using Time = std::chrono::nanoseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kNow(100);
constexpr milliseconds kHandOver(4000);
constexpr std::uint64_t kMaxConnectMs = 250;
const ColdTolerance kTolerance{Milliseconds(3000), RequestRate(10)};

double Tolerated(const ColdTolerance& tolerance, const ColdOverage& overage) {
  return overage.ratio * tolerance.rate.Count() + overage.slack;
}

/// The most elements of `times`, which are sorted, within one second.
std::size_t MostInOneSecond(const std::vector<Time>& times) {
  std::size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(end - first));
  }
  return most;
}

/// One granter of a server and the instances that ask it, each with the permits
/// that it holds.
struct Granter {
  GranterRole role = GranterRole::kMain;
  double share = 1;
  PermitGranter granter{kHandOver};
  std::vector<HeldPermits> held = std::vector<HeldPermits>(8);
};

/// Instances ask for permits at any moment and use them at any moment later.
std::vector<Time> SendWithPermits(RequestRate rate, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Granter> granters(1 + kMaxSubstituteDomains);
  for (std::size_t i = 0; i < granters.size(); ++i) {
    if (i > 0) {
      granters[i].role = GranterRole::kSubstitute;
      granters[i].share = kSubstituteFraction / kMaxSubstituteDomains;
    }
    granters[i].granter.SetRole(granters[i].role, Time(0));
  }
  std::vector<Time> sent;
  for (Time now = kNow; now < kNow + seconds(20); now += milliseconds(1)) {
    // Bursts of questions, between pauses in which buckets fill.
    if ((now / milliseconds(700)) % 2 == 0) continue;
    Granter& asked = granters[random() % granters.size()];
    const std::size_t asker = random() % asked.held.size();
    const auto answer =
        asked.granter.Ask(asked.role, NodeId("n" + std::to_string(asker)), rate,
                          asked.share, now);
    if (answer) asked.held[asker].Add(answer->permits, now);
    HeldPermits& user = asked.held[random() % asked.held.size()];
    while (user.Take(now))
      sent.push_back(now + milliseconds(random() % kMaxConnectMs));
  }
  std::sort(sent.begin(), sent.end());
  return sent;
}

}  // namespace

Test(warmup, a_server_is_cold_for_as_long_as_it_states) {
  const Time until = ColdUntil({kNow + seconds(2), {}}, kTolerance);
  cr_expect(until == kNow + seconds(2));
  cr_expect(ColdUntil({}, kTolerance) == Time(0));
}

// Guards against full load on servers of a domain that started again while it
// was evacuated, and whose registrations are read later than the order's end.
Test(warmup, servers_of_a_domain_that_returns_count_as_cold) {
  cr_expect(ColdUntil({Time(0), kNow}, kTolerance) == kNow + seconds(3));
  cr_expect(ColdUntil({kNow + seconds(5), kNow}, kTolerance) ==
            kNow + seconds(5));
}

Test(warmup, permits_are_granted_below_the_tolerated_rate) {
  const RequestRate rate = ColdPermitRate(kTolerance, {});
  cr_expect_gt(rate.Count(), kTolerance.rate.Count() / 2);
  cr_expect_leq(rate.Count(), kTolerance.rate.Count());
}

Test(warmup, without_slack_for_the_granters_buckets_no_rate_is_granted) {
  const ColdOverage none{0, 0};
  cr_expect_eq(ColdPermitRate(kTolerance, none).Count(), 0);
}

// Load pattern: all instances find a cold server idle and ask for it at once,
// some of them the substitutes, and use their permits late.
Test(warmup, in_any_second_a_cold_server_gets_no_more_than_it_tolerates) {
  const ColdOverage overage;
  for (const double per_s : {1.0, 10.0, 60.0, 400.0}) {
    const ColdTolerance tolerance{Milliseconds(3000), RequestRate(per_s)};
    const RequestRate rate = ColdPermitRate(tolerance, overage);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto sent = SendWithPermits(rate, seed);
      cr_expect_leq(static_cast<double>(MostInOneSecond(sent)),
                    Tolerated(tolerance, overage), "rate %g, seed %llu", per_s,
                    static_cast<unsigned long long>(seed));
      cr_expect_not(sent.empty());
    }
  }
}

Test(warmup, an_asker_tells_for_how_much_longer_a_server_is_cold) {
  const ServerBoot start{ServerId("s"), 1};
  auto packed = PackLimit(start, {}, kNow, kNow + milliseconds(1500));
  auto received = UnpackLimit(*packed, kNow + seconds(50));
  cr_assert(received.has_value());
  cr_expect(received->cold_until == kNow + seconds(50) + milliseconds(1500));
  packed = PackLimit(start, {}, kNow, kNow - seconds(1));
  received = UnpackLimit(*packed, kNow);
  cr_assert(received.has_value());
  cr_expect(received->cold_until == Time(0));
  packed->cold_left_ms = 0xffffffff;
  cr_expect_not(UnpackLimit(*packed, kNow).has_value());
}
