#include "cowslipknot/gateway/capacity_plan.h"
#include "cowslipknot/gateway/server_registry.h"
#include "platform/documents.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Domains = std::map<DomainId, DomainCapacity>;
using Time = std::chrono::nanoseconds;

constexpr std::chrono::seconds kStart(100);

Scaling MakeScaling() {
  Scaling scaling;
  scaling.min_servers = 1;
  scaling.max_servers = 10;
  scaling.boot_time = Milliseconds(4000);
  scaling.spot_price_ratio = 0.2;
  return scaling;
}

/// Plans once a second and accepts every order. @return all orders
std::vector<CapacityOrder> RunPlanner(CapacityPlanner& planner,
                                      const Domains& domains, int from,
                                      int to) {
  std::vector<CapacityOrder> all;
  for (int second = from; second < to; ++second) {
    const auto now = kStart + std::chrono::seconds(second);
    for (const auto& order : planner.Plan(domains, now)) {
      planner.OnOrderAccepted(order, now);
      all.push_back(order);
    }
  }
  return all;
}

std::optional<std::uint32_t> LastOrder(const std::vector<CapacityOrder>& orders,
                                       const std::string& domain,
                                       bool reclaimable) {
  std::optional<std::uint32_t> last;
  for (const auto& order : orders) {
    const bool matches =
        order.domain.Text() == domain && order.reclaimable == reclaimable;
    if (matches) last = order.servers;
  }
  return last;
}

ServerEntry MakeCold(Milliseconds left, std::uint64_t version) {
  ServerEntry entry;
  entry.id = ServerId("a");
  entry.started_ms = 1;
  entry.warmup_left = left;
  entry.position = {StoreEra(1), StoreVersion(version)};
  return entry;
}

Time ColdUntilOf(const ServerRegistry& registry) {
  return registry.UsableServers().at(0).cold_until;
}

}  // namespace

Test(cold_registration, counts_from_when_it_was_read) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeCold(Milliseconds(3000), 5)}, kStart);
  cr_expect(ColdUntilOf(registry) == kStart + std::chrono::seconds(3));
}

// Guards against a server that never warms up, since its row is read again.
Test(cold_registration, a_row_that_is_read_again_does_not_prolong_it) {
  ServerRegistry registry(Milliseconds(2000));
  const ServerEntry entry = MakeCold(Milliseconds(3000), 5);
  registry.Replace({entry}, kStart);
  registry.Replace({entry}, kStart + std::chrono::seconds(2));
  cr_expect(ColdUntilOf(registry) == kStart + std::chrono::seconds(3));
}

Test(cold_registration, a_later_registration_ends_it) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeCold(Milliseconds(3000), 5)}, kStart);
  const ServerEntry warm = MakeCold(Milliseconds(0), 6);
  cr_expect(registry.Apply({{warm.id, warm}}, kStart));
  cr_expect(ColdUntilOf(registry) == Time(0));
}

// Guards against a server that turns cold again between two readings.
Test(cold_registration, a_server_that_is_cold_for_longer_again_is_a_change) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeCold(Milliseconds(3000), 5)}, kStart);
  const auto later = kStart + std::chrono::seconds(2);
  const ServerEntry warming = MakeCold(Milliseconds(1000), 6);
  cr_expect_not(registry.Apply({{warming.id, warming}}, later));
  // Less is left than the first registration said.
  const ServerEntry anew = MakeCold(Milliseconds(2500), 7);
  cr_expect(registry.Apply({{anew.id, anew}}, later));
  cr_expect(ColdUntilOf(registry) == later + Milliseconds(2500));
}

Test(cold_service, is_read_from_its_configuration) {
  const auto decode = [](const std::string& fields) {
    const auto configuration = platform::DecodeConfiguration(
        R"({"version":1,"services":[{"name":"s")" + fields + "}]}");
    return configuration->services.at(ServiceId("s")).cold;
  };
  const auto cold = decode(R"(,"warmup_s":2.5,"warmup_per_s":10)");
  cr_assert(cold.has_value());
  cr_expect_eq(cold->duration.count(), 2500);
  cr_expect_eq(cold->rate.Count(), 10);
  cr_expect_not(decode("").has_value());
  cr_expect_not(decode(R"(,"warmup_s":0,"warmup_per_s":0)").has_value());
  cr_expect_not(platform::DecodeConfiguration(
                    R"({"version":1,"services":[{"name":"s","warmup_s":-1}]})")
                    .has_value());
}

// Load pattern: a domain is evacuated under full load, and the others have to
// take over what its servers did.
Test(capacity_plan, other_domains_get_servers_for_an_evacuated_one) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains domains = {{DomainId("a"), {4.0, 1, 7}},
                     {DomainId("b"), {4.0, 1, 7}},
                     {DomainId("c"), {4.0, 1, 7}}};
  RunPlanner(planner, domains, 0, 30);
  domains[DomainId("a")].evacuated = true;
  const auto orders = RunPlanner(planner, domains, 30, 31);
  cr_expect_geq(LastOrder(orders, "b", true).value_or(0), 9);
  cr_expect_geq(LastOrder(orders, "c", true).value_or(0), 9);
  cr_expect_not(LastOrder(orders, "a", true).has_value());
  cr_expect_not(LastOrder(orders, "a", false).has_value());
}

Test(capacity_plan, an_evacuated_domain_keeps_its_servers_for_its_return) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains domains = {{DomainId("a"), {4.0, 1, 7}},
                     {DomainId("b"), {4.0, 1, 7}}};
  RunPlanner(planner, domains, 0, 30);
  domains[DomainId("a")] = {0.0, 1, 7, true};
  const auto orders = RunPlanner(planner, domains, 30, 60);
  cr_expect_not(LastOrder(orders, "a", true).has_value());
  cr_expect_not(LastOrder(orders, "a", false).has_value());
}

Test(capacity_plan, with_all_domains_evacuated_nothing_is_ordered) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains domains = {{DomainId("a"), {4.0, 1, 7}}};
  RunPlanner(planner, domains, 0, 30);
  domains[DomainId("a")].evacuated = true;
  cr_expect(RunPlanner(planner, domains, 30, 40).empty());
}

// Load pattern: the platform reclaims most servers of a domain, while the
// others come and go one by one.
Test(reclaim_watch, notices_servers_of_one_domain_that_are_gone_at_once) {
  const std::pair<ServiceId, DomainId> west{ServiceId("m"), DomainId("west")};
  const std::pair<ServiceId, DomainId> east{ServiceId("m"), DomainId("east")};
  ReclaimWatch watch;
  cr_expect_not(watch.Update({{west, 51}, {east, 28}}));
  cr_expect_not(watch.Update({{west, 50}, {east, 28}}));
  cr_expect(watch.Update({{west, 20}, {east, 28}}));
  cr_expect_not(watch.Update({{west, 20}, {east, 28}}));
  cr_expect(watch.Update({{west, 20}}));
  cr_expect_not(watch.Update({{west, 30}, {east, 4}}));
}

Test(reclaim_watch, ignores_single_servers_and_small_parts) {
  cr_expect_not(IsReclaim(1, 0));
  cr_expect_not(IsReclaim(40, 31));
  cr_expect(IsReclaim(40, 30));
  cr_expect(IsReclaim(2, 0));
  cr_expect_not(IsReclaim(0, 5));
}
