#include <rapidcheck.h>

#include "cowslipknot/gateway/capacity_plan.h"
#include "cowslipknot/gateway/placement.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr std::chrono::nanoseconds kStart = std::chrono::seconds(100);

Backend MakeBackend(const std::string& id, const std::string& domain,
                    bool is_model = true) {
  Backend backend;
  backend.entry.id = ServerId(id);
  backend.entry.domain = DomainId(domain);
  backend.entry.slots = 32;
  backend.is_model = is_model;
  backend.state = std::make_shared<BackendState>(TokenCount(100000));
  return backend;
}

PlacementContext MakeContext() {
  PlacementContext context;
  context.domain = DomainId("a");
  context.now = kStart;
  return context;
}

PlacementRequest MakeRequest(std::uint64_t tokens,
                             std::vector<PromptPart> parts = {}) {
  PlacementRequest request;
  request.prompt = TokenCount(tokens);
  request.parts = std::move(parts);
  return request;
}

std::string ChosenServer(const PlacementRequest& request,
                         const std::vector<Backend>& backends,
                         const PlacementContext& context = MakeContext()) {
  const auto selected = SelectBackend(request, backends, context);
  return selected ? backends[selected->index].entry.id.Text() : std::string();
}

}  // namespace

// Guards against requests sent to a server after it said that it is leaving.
Test(placement, a_leaving_server_is_not_selected_even_if_it_is_the_only_one) {
  const std::vector<Backend> backends = {MakeBackend("s0", "a"),
                                         MakeBackend("s1", "a")};
  cr_expect(backends[0].state->RecordLeaving());
  cr_expect_not(backends[0].state->RecordLeaving());
  cr_expect_eq(ChosenServer(MakeRequest(100), backends), "s1");
  backends[1].state->RecordLeaving();
  cr_expect_eq(ChosenServer(MakeRequest(100), backends), "");
}

// Guards against requests to a server that left while they waited to be sent.
Test(placement, a_server_that_is_not_available_may_get_no_request) {
  const std::vector<Backend> backends = {MakeBackend("s0", "a"),
                                         MakeBackend("s1", "a")};
  BackendState& left = *backends[0].state;
  cr_expect(left.MayGetRequests(kStart));
  left.SetAvailable(false);
  cr_expect_not(left.MayGetRequests(kStart));
  cr_expect_eq(ChosenServer(MakeRequest(100), backends), "s1");
  left.SetAvailable(true);
  left.RecordPause(kStart + std::chrono::seconds(1));
  cr_expect_not(left.MayGetRequests(kStart));
  cr_expect(left.MayGetRequests(kStart + std::chrono::seconds(1)));
  left.RecordLeaving();
  cr_expect_not(left.MayGetRequests(kStart + std::chrono::seconds(1)));
}

Test(placement, a_server_that_cached_the_prefix_is_preferred) {
  const std::vector<Backend> backends = {
      MakeBackend("s0", "a"), MakeBackend("s1", "a"), MakeBackend("s2", "a")};
  const std::vector<PromptPart> parts = {{1, TokenCount(5000)},
                                         {2, TokenCount(1000)}};
  const auto sent =
      backends[1].state->RecordSent(TokenCount(6000), parts, kStart);
  backends[1].state->RecordNotStarted(sent, TokenCount(6000));
  const std::vector<PromptPart> next = {{1, TokenCount(5000)},
                                        {3, TokenCount(1000)}};
  cr_expect_eq(ChosenServer(MakeRequest(6000, next), backends), "s1");
}

Test(placement, a_long_queue_outweighs_a_cached_prefix) {
  const std::vector<Backend> backends = {MakeBackend("s0", "a"),
                                         MakeBackend("s1", "a")};
  const std::vector<PromptPart> parts = {{1, TokenCount(1000)},
                                         {2, TokenCount(100)}};
  backends[1].state->RecordSent(TokenCount(50000), parts, kStart);
  cr_expect_eq(ChosenServer(MakeRequest(1100, parts), backends), "s0");
}

Test(placement,
     another_domain_serves_requests_that_the_local_one_cannot_serve_in_time) {
  const std::vector<Backend> backends = {MakeBackend("near", "a"),
                                         MakeBackend("far", "b")};
  cr_expect_eq(ChosenServer(MakeRequest(1000), backends), "near");
  for (int i = 0; i < 4; ++i) {
    backends[0].state->RecordSent(TokenCount(30000), {}, kStart);
  }
  // Other instances are assumed to load the far server as much as the near
  // one, so only this instance's additional load shifts requests.
  PlacementContext context = MakeContext();
  context.instances_in_domain = 3;
  cr_expect_eq(ChosenServer(MakeRequest(1000), backends, context), "far");
}

Test(placement, a_failing_or_unreachable_server_is_avoided) {
  const std::vector<Backend> backends = {MakeBackend("s0", "a", false),
                                         MakeBackend("s1", "a", false)};
  for (int i = 0; i < 10; ++i) backends[0].state->RecordFailure(kStart);
  cr_expect_eq(ChosenServer(PlacementRequest(), backends), "s1");
  backends[1].state->RecordUnreachable(kStart);
  cr_expect_eq(ChosenServer(PlacementRequest(), backends), "s0");
}

Test(placement, avoided_servers_are_used_when_there_is_no_other) {
  const std::vector<Backend> backends = {MakeBackend("s0", "a")};
  backends[0].state->RecordUnreachable(kStart);
  cr_expect_eq(ChosenServer(PlacementRequest(), backends), "s0");
  PlacementRequest tried;
  tried.tried = {ServerId("s0")};
  cr_expect_eq(ChosenServer(tried, backends), "");
}

Test(placement, load_returns_to_zero_for_any_mix_of_request_outcomes) {
  cr_assert(rc::check([] {
    BackendState state(TokenCount(1000));
    const auto costs = *rc::gen::container<std::vector<std::uint16_t>>(
        rc::gen::arbitrary<std::uint16_t>());
    std::vector<std::uint64_t> sent;
    sent.reserve(costs.size());
    for (const auto cost : costs) {
      sent.push_back(state.RecordSent(TokenCount(cost), {}, kStart));
    }
    for (std::size_t i = 0; i < costs.size(); ++i) {
      const TokenCount cost(costs[i]);
      if (i % 2 == 0) {
        state.RecordNotStarted(sent[i], cost);
      } else {
        state.RecordFirstEvent(sent[i], cost, cost, 5, kStart);
        state.RecordFinished();
      }
    }
    RC_ASSERT(state.QueuedTokens().Count() == 0);
    RC_ASSERT(state.Waiting() == 0);
    RC_ASSERT(state.Running() == 0);
  }));
}

// Guards against choosing a server that other instances have loaded, which this
// instance cannot see: requests that wait there reveal the load before any
// first event arrives.
Test(placement, a_server_where_requests_wait_too_long_is_avoided) {
  const std::vector<Backend> backends = {MakeBackend("s0", "a"),
                                         MakeBackend("s1", "a")};
  backends[0].state->RecordSent(TokenCount(0), {}, kStart);
  PlacementContext context = MakeContext();
  context.now = kStart + std::chrono::milliseconds(900);
  cr_expect_eq(ChosenServer(MakeRequest(1000), backends, context), "s1");
}

Test(placement, a_measured_lag_decays_over_time) {
  BackendState state(TokenCount(0));
  const auto sent = state.RecordSent(TokenCount(0), {}, kStart);
  const auto later = kStart + std::chrono::milliseconds(800);
  state.RecordFirstEvent(sent, TokenCount(0), TokenCount(0), 20, later);
  cr_expect_gt(state.LagMs(later), 100);
  cr_expect_lt(state.LagMs(later + std::chrono::seconds(8)), 10);
}

Test(prefix_cache_model, evicts_the_least_recently_used_part_beyond_its_size) {
  PrefixCacheModel cache(TokenCount(250));
  cache.Insert({{1, TokenCount(100)}});
  cache.Insert({{2, TokenCount(100)}});
  cache.Insert({{1, TokenCount(100)}});
  cache.Insert({{3, TokenCount(100)}});
  cr_expect_eq(cache.Match({{1, TokenCount(100)}}).Count(), 100);
  cr_expect_eq(cache.Match({{2, TokenCount(100)}}).Count(), 0);
  // A part matches only if all parts before it are cached.
  cr_expect_eq(
      cache.Match({{2, TokenCount(100)}, {3, TokenCount(100)}}).Count(), 0);
}

namespace {

Scaling MakeScaling() {
  Scaling scaling;
  scaling.min_servers = 1;
  scaling.max_servers = 10;
  scaling.boot_time = Milliseconds(4000);
  scaling.spot_price_ratio = 0.2;
  return scaling;
}

using Domains = std::map<DomainId, DomainCapacity>;

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

}  // namespace

// Guards against releasing on-demand servers at startup before reclaimable ones
// are ready: the deployment starts with on-demand servers only, and reclaimable
// ones soon become unavailable.
Test(capacity_plan, before_load_is_observed_the_number_of_servers_is_kept) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains idle = {{DomainId("a"), {0, 5, 0}}};
  const auto first = RunPlanner(planner, idle, 0, 6);
  cr_expect_eq(LastOrder(first, "a", true).value_or(0), 5);
  cr_expect_not(LastOrder(first, "a", false).has_value());
  // On-demand servers are released only once as many reclaimable ones are
  // ready.
  idle = {{DomainId("a"), {0, 5, 4}}};
  cr_expect_not(
      LastOrder(RunPlanner(planner, idle, 6, 9), "a", false).has_value());
  idle = {{DomainId("a"), {0, 5, 5}}};
  const auto last = RunPlanner(planner, idle, 9, 20);
  cr_expect_eq(LastOrder(last, "a", false).value_or(0), 1);
  cr_expect_not(LastOrder(last, "a", true).has_value());
}

Test(capacity_plan,
     before_load_is_observed_on_demand_servers_stay_if_there_are_no_others) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  const Domains idle = {{DomainId("a"), {0, 5, 0}}};
  for (int second = 0; second < 20; ++second) {
    const auto now = kStart + std::chrono::seconds(second);
    for (const auto& order : planner.Plan(idle, now)) {
      cr_expect(order.reclaimable);
      planner.OnOrderRejected(order, now);
    }
  }
}

// Guards against a lasting loss of capacity when the reclaimable servers of one
// domain are reclaimed and no new ones are available afterwards.
Test(capacity_plan, reclaimed_servers_are_replaced_by_on_demand_ones_at_once) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains domains = {{DomainId("a"), {4.0, 1, 7}},
                     {DomainId("b"), {4.0, 1, 7}}};
  RunPlanner(planner, domains, 0, 30);
  // More reclaimable servers are ordered just before the reclaim.
  domains = {{DomainId("a"), {5.0, 1, 8}}, {DomainId("b"), {5.0, 1, 8}}};
  RunPlanner(planner, domains, 30, 31);
  domains = {{DomainId("a"), {5.0, 1, 0}}, {DomainId("b"), {5.0, 1, 8}}};
  const auto orders = RunPlanner(planner, domains, 31, 32);
  cr_expect_geq(LastOrder(orders, "a", false).value_or(0), 6);
  cr_expect_not(LastOrder(orders, "a", true).has_value());
  cr_expect_not(LastOrder(orders, "b", false).has_value());
}

// Load pattern: the reclaimable servers of two domains leave under full load,
// and the holder of the lease loses the store at the same time. Its successor
// has no time to observe the load first.
Test(capacity_plan, a_new_planner_orders_at_once_for_a_load_it_has_observed) {
  const Domains before = {{DomainId("a"), {5.0, 1, 7}},
                          {DomainId("b"), {5.0, 1, 7}},
                          {DomainId("c"), {5.0, 1, 7}}};
  CapacityPlanner successor(ServiceId("m"), MakeScaling());
  for (int second = 0; second < 20; ++second) {
    successor.ForgetOrders();
    successor.Observe(before, kStart + std::chrono::seconds(second));
  }
  const Domains after = {{DomainId("a"), {5.0, 1, 0}},
                         {DomainId("b"), {5.0, 1, 0}},
                         {DomainId("c"), {5.0, 1, 7}}};
  const auto now = kStart + std::chrono::seconds(20);
  auto orders = successor.Plan(after, now);
  for (const auto& order : orders) {
    if (order.reclaimable) {
      successor.OnOrderRejected(order, now);
    } else {
      successor.OnOrderAccepted(order, now);
    }
  }
  for (const auto& order : successor.Plan(after, now)) orders.push_back(order);
  cr_expect_geq(LastOrder(orders, "a", false).value_or(0), 6);
  cr_expect_geq(LastOrder(orders, "b", false).value_or(0), 6);
  cr_expect_not(LastOrder(orders, "c", false).has_value());
}

Test(capacity_plan, an_observer_does_not_take_orders_of_others_for_a_reclaim) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  planner.Observe({{DomainId("a"), {2.0, 1, 9}}}, kStart);
  planner.Observe({{DomainId("a"), {2.0, 1, 4}}},
                  kStart + std::chrono::seconds(1));
  const auto orders =
      RunPlanner(planner, {{DomainId("a"), {4.0, 1, 4}}}, 10, 12);
  cr_expect_geq(LastOrder(orders, "a", true).value_or(0), 5);
}

Test(capacity_plan, a_short_drop_in_load_releases_no_reclaimable_server) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains domains = {{DomainId("a"), {4.0, 1, 9}},
                     {DomainId("b"), {4.0, 1, 9}}};
  RunPlanner(planner, domains, 0, 30);
  domains = {{DomainId("a"), {0.5, 1, 9}}, {DomainId("b"), {0.5, 1, 9}}};
  cr_expect(RunPlanner(planner, domains, 30, 40).empty());
  const auto later = RunPlanner(planner, domains, 40, 120);
  cr_expect_lt(LastOrder(later, "a", true).value_or(9), 4);
}

Test(capacity_plan,
     reclaimable_servers_replace_on_demand_ones_once_they_are_ready) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  Domains domains = {{DomainId("a"), {1.6, 5, 0}},
                     {DomainId("b"), {1.6, 5, 0}}};
  const auto first = RunPlanner(planner, domains, 0, 6);
  cr_expect_geq(LastOrder(first, "a", true).value_or(0), 2);
  domains = {{DomainId("a"), {1.6, 5, 4}}, {DomainId("b"), {1.6, 5, 4}}};
  const auto later = RunPlanner(planner, domains, 6, 16);
  cr_expect_eq(LastOrder(later, "a", false).value_or(0), 1);
}

Test(capacity_plan, on_demand_servers_replace_unavailable_reclaimable_ones) {
  CapacityPlanner planner(ServiceId("m"), MakeScaling());
  const Domains domains = {{DomainId("a"), {3.0, 1, 0}},
                           {DomainId("b"), {0.1, 1, 0}}};
  const auto now = kStart + std::chrono::seconds(5);
  planner.Plan(domains, kStart);
  std::vector<CapacityOrder> orders = planner.Plan(domains, now);
  for (const auto& order : orders) {
    if (order.reclaimable) {
      planner.OnOrderRejected(order, now);
    } else {
      planner.OnOrderAccepted(order, now);
    }
  }
  for (int second = 6; second < 9; ++second) {
    const auto later = kStart + std::chrono::seconds(second);
    for (const auto& order : planner.Plan(domains, later)) {
      if (!order.reclaimable) orders.push_back(order);
    }
  }
  cr_expect_geq(LastOrder(orders, "a", false).value_or(0), 4);
}

Test(capacity_plan, orders_stay_within_the_limits_and_converge) {
  cr_assert(rc::check([] {
    CapacityPlanner planner(ServiceId("m"), MakeScaling());
    const auto busy = *rc::gen::inRange(0, 300);
    const auto on_demand = *rc::gen::inRange(1, 11);
    const auto reclaimable = *rc::gen::inRange(0, 5);
    const Domains domains = {
        {DomainId("a"),
         {busy / 10.0, static_cast<std::uint32_t>(on_demand),
          static_cast<std::uint32_t>(reclaimable)}},
        {DomainId("b"), {0.5, 1, 0}}};
    for (const auto& order : RunPlanner(planner, domains, 0, 30)) {
      RC_ASSERT(order.servers <= 10u);
    }
    const auto late = RunPlanner(planner, domains, 30, 36);
    // With unchanged input, only orders for reclaimable servers that have not
    // started are repeated.
    for (const auto& order : late) RC_ASSERT(order.reclaimable);
  }));
}
