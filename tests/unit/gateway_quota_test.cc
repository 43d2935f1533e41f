#include <rapidcheck.h>

#include <cmath>
#include <random>

#include "cowslipknot/gateway/quota.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

using Time = std::chrono::nanoseconds;

gateway::Workspace MakeWorkspace(double rate) {
  gateway::Workspace workspace;
  workspace.name = WorkspaceId("w");
  workspace.rate_per_s = rate;
  workspace.burst = rate;
  workspace.counts_tokens = true;
  return workspace;
}

QuotaTolerance MakeTolerance() {
  QuotaTolerance tolerance;
  tolerance.slack = 140000;
  return tolerance;
}

/// Most requests are small; a few have prompts of ten times the mean.
constexpr double kMeanCost = 4000;
constexpr double kMaxCost = 50000;
constexpr std::chrono::milliseconds kStepInterval(10);
constexpr std::chrono::milliseconds kExchangeInterval(1600);

/// One instance of a simulated deployment.
struct Node {
  QuotaLimiter limiter{MakeTolerance()};
  DelayedShare share;
  double reported = 0;
  Time next_exchange{0};
};

/// Granted costs of all instances, ordered by time.
struct Grants {
  std::vector<std::pair<Time, double>> granted;

  double MaxInWindow(Time window) const {
    double max_sum = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [time, cost] : granted) {
      sum += cost;
      while (granted[first].first <= time - window) {
        sum -= granted[first++].second;
      }
      max_sum = std::max(max_sum, sum);
    }
    return max_sum;
  }
};

/// Simulated instances that exchange their demand through delayed reports.
class Deployment {
 public:
  Deployment(int nodes, double rate, std::uint32_t seed)
      : m_workspace(MakeWorkspace(rate)), m_nodes(nodes), m_random(seed) {
    for (auto& node : m_nodes) {
      node.next_exchange = std::chrono::milliseconds(m_random() % 1600);
      node.limiter.SetShare(m_workspace.name, (1 - kPooledFraction) / nodes);
    }
    for (auto& pool : m_pools) {
      pool.SetShare(m_workspace.name, kLenderFraction, m_now);
    }
  }

  void SetLendersReachable(bool reachable) { m_lenders_reachable = reachable; }

  /// @param weights  share of the demand at each instance
  void Run(Time length, double demand_per_s,
           const std::vector<double>& weights) {
    const Time end = m_now + length;
    for (; m_now < end; m_now += kStepInterval) {
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        ExchangeDemand(i);
        SendRequests(m_nodes[i], demand_per_s * weights[i]);
      }
    }
  }

  const Grants& Granted() const { return m_grants; }
  double RequestedCost() const { return m_requested_cost; }

 private:
  void ExchangeDemand(std::size_t index) {
    Node& node = m_nodes[index];
    if (m_now < node.next_exchange) return;
    node.next_exchange = m_now + kExchangeInterval;
    const auto demand = node.limiter.Demand(m_now);
    const auto own = demand.find(m_workspace.name);
    node.reported = own == demand.end() ? 0 : own->second;
    double others = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (i != index) others += m_nodes[i].reported;
    }
    node.share.Update((1 - kPooledFraction) *
                      QuotaShare(node.reported, others, m_nodes.size()));
    node.limiter.SetShare(m_workspace.name, node.share.Current());
  }

  bool TryGrant(Node& node, double cost) {
    const double missing = node.limiter.Reserve(m_workspace, cost, m_now);
    if (missing <= 0) return true;
    if (m_lenders_reachable) {
      for (auto& pool : m_pools) {
        const auto wait = pool.Lend(m_workspace, missing, m_now);
        if (wait->count() == 0) return true;
      }
      node.limiter.Refund(m_workspace, cost - missing);
      return false;
    }
    node.limiter.Refund(m_workspace, cost - missing);
    return node.limiter.TakeWithDebt(m_workspace, cost, m_now).count() == 0;
  }

  void SendRequests(Node& node, double rate) {
    const double expected =
        rate / kMeanCost * std::chrono::duration<double>(kStepInterval).count();
    std::poisson_distribution<int> arrivals(expected);
    std::lognormal_distribution<double> costs(std::log(kMeanCost) - 0.5, 1);
    for (int left = arrivals(m_random); left > 0; --left) {
      const double cost = std::min(kMaxCost, costs(m_random));
      m_requested_cost += cost;
      if (TryGrant(node, cost)) m_grants.granted.emplace_back(m_now, cost);
    }
  }

  gateway::Workspace m_workspace;
  std::vector<Node> m_nodes;
  std::vector<QuotaPool> m_pools{kLendersPerLimit, QuotaPool(MakeTolerance())};
  bool m_lenders_reachable = true;
  std::mt19937 m_random;
  Time m_now{0};
  Grants m_grants;
  double m_requested_cost = 0;
};

double MaxAllowedCost(double rate) { return (rate * 8 + rate) * 1.1 + 140000; }

constexpr Time kWindow = std::chrono::seconds(8);
constexpr double kRate = 280000;
constexpr double kSmallRate = 36000;

}  // namespace

Test(quota, shares_follow_demand_and_have_a_minimum) {
  cr_expect_gt(QuotaShare(100, 0, 5), 0.9);
  cr_expect_gt(QuotaShare(0, 100, 5), 0.01);
  cr_expect_float_eq(QuotaShare(0, 0, 5), 0.2, 1e-9);
}

// Guards against granting too much when one workspace suddenly requests many
// times its limit, at all instances or shifting between them, with and without
// borrowing from the limit's lenders.
Test(quota, a_workspace_far_over_its_limit_stays_within_the_tolerance) {
  cr_assert(rc::check([] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const int nodes = *rc::gen::element(5, 30);
    const auto hot_node = *rc::gen::inRange(0, nodes);
    const double rate = *rc::gen::element(kRate, kSmallRate);
    Deployment deployment(nodes, rate, seed);
    // Without borrowing, a large deployment grants too little, never too much:
    // each instance's share is small compared to a request.
    deployment.SetLendersReachable(nodes == 30 || *rc::gen::arbitrary<bool>());
    const auto count = static_cast<std::size_t>(nodes);
    const std::vector<double> even(count, 1.0 / nodes);
    std::vector<double> skewed(count, 0.5 / nodes);
    skewed[static_cast<std::size_t>(hot_node)] += 0.5;
    deployment.Run(std::chrono::seconds(6), rate * 0.5, even);
    deployment.Run(std::chrono::seconds(9), rate * 6, skewed);
    deployment.Run(std::chrono::seconds(9), rate * 6, even);
    RC_ASSERT(deployment.Granted().MaxInWindow(kWindow) <=
              MaxAllowedCost(rate));
  }));
}

namespace {

double GrantedShare(int nodes, double rate) {
  Deployment deployment(nodes, rate, 7);
  std::vector<double> weights;
  double sum = 0;
  for (int i = 0; i < nodes; ++i) {
    weights.push_back(1 + i % 3);
    sum += weights.back();
  }
  for (auto& weight : weights) weight /= sum;
  deployment.Run(std::chrono::seconds(60), rate * 0.55, weights);
  double granted = 0;
  for (const auto& [time, cost] : deployment.Granted().granted) {
    granted += cost;
  }
  return granted / deployment.RequestedCost();
}

}  // namespace

// Guards against needless rejections under light load: bursty callers far below
// the limit.
Test(quota, a_workspace_well_below_its_limit_is_rarely_rejected) {
  cr_expect_gt(GrantedShare(5, kRate), 0.995);
  cr_expect_gt(GrantedShare(5, kSmallRate), 0.98);
}

// Guards against needless rejections of a small workspace that is spread over
// many instances, where each instance's share is smaller than a request.
Test(quota, many_instances_grant_as_much_as_few) {
  cr_expect_gt(GrantedShare(30, kRate), 0.995);
  cr_expect_gt(GrantedShare(30, kSmallRate), 0.98);
}

Test(quota, the_reservation_of_a_rejected_request_is_refunded) {
  QuotaLimiter limiter(QuotaTolerance{});
  const gateway::Workspace workspace = MakeWorkspace(1000);
  limiter.SetShare(workspace.name, 1);
  const Time now = std::chrono::seconds(1);
  const double missing = limiter.Reserve(workspace, 1500, now);
  cr_expect_float_eq(missing, 500, 1);
  limiter.Refund(workspace, 1500 - missing);
  const double again = limiter.Reserve(workspace, 1000, now);
  cr_expect_float_eq(again, 0, 1);
}

Test(quota, a_pool_starts_empty_and_lends_only_at_a_lender_of_the_limit) {
  QuotaPool pool(MakeTolerance());
  const gateway::Workspace workspace = MakeWorkspace(1000);
  const Time now = std::chrono::seconds(1);
  cr_expect_not(pool.Lend(workspace, 100, now).has_value());
  pool.SetShare(workspace.name, kPooledFraction, now);
  const auto wait = pool.Lend(workspace, 100, now);
  cr_assert(wait.has_value());
  cr_expect_gt(wait->count(), 0);
  cr_expect_eq(pool.Lend(workspace, 100, now + *wait)->count(), 0);
  pool.SetShare(workspace.name, 0, now + *wait);
  cr_expect_not(pool.Lend(workspace, 100, now + 2 * *wait).has_value());
}

Test(quota, a_new_lender_lends_only_after_the_previous_one_has_stopped) {
  constexpr Milliseconds kHandOverDelay(4000);
  const Time now = std::chrono::seconds(1);
  LenderStatus status(kHandOverDelay);
  status.Update(true, false, now);
  cr_expect_not(status.MayLend(now + kHandOverDelay - Milliseconds(1)));
  cr_expect(status.MayLend(now + kHandOverDelay));
  status.Update(false, false, now + kHandOverDelay);
  cr_expect_not(status.MayLend(now + 2 * kHandOverDelay));
  LenderStatus restarted(kHandOverDelay);
  restarted.Update(true, true, now);
  cr_expect(restarted.MayLend(now));
}

Test(quota,
     every_limit_has_all_its_lenders_and_few_move_when_an_instance_leaves) {
  std::vector<NodeId> nodes;
  nodes.reserve(30);
  for (int i = 0; i < 30; ++i) nodes.emplace_back("n" + std::to_string(i));
  std::vector<NodeId> fewer(nodes.begin(), nodes.end() - 1);
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    const WorkspaceId workspace("w" + std::to_string(i));
    const auto lenders = QuotaLenders(workspace, nodes);
    cr_assert_eq(lenders.size(), kLendersPerLimit);
    for (const auto& later : QuotaLenders(workspace, fewer)) {
      if (std::find(lenders.begin(), lenders.end(), later) == lenders.end())
        ++moved;
    }
  }
  // One thirtieth of the 900 lenders, 30, is expected to move.
  cr_expect_lt(moved, 60);
  fewer.resize(kLendersPerLimit - 1);
  cr_expect(QuotaLenders(WorkspaceId("w"), fewer).empty());
}

Test(quota, a_rejection_states_the_time_until_the_request_would_be_granted) {
  QuotaLimiter limiter(QuotaTolerance{});
  const gateway::Workspace workspace = MakeWorkspace(1000);
  limiter.SetShare(workspace.name, 1);
  Time now = std::chrono::seconds(1);
  Milliseconds wait(0);
  while (wait.count() == 0) wait = limiter.TakeWithDebt(workspace, 500, now);
  cr_expect_gt(limiter.TakeWithDebt(workspace, 500, now + wait / 2).count(), 0);
  cr_expect_eq(limiter.TakeWithDebt(workspace, 500, now + wait).count(), 0);
}

Test(quota, a_share_rises_one_exchange_late_and_falls_at_once) {
  DelayedShare share;
  share.Update(0.2);
  share.Update(0.6);
  cr_expect_float_eq(share.Current(), 0.2, 1e-9);
  share.Update(0.6);
  cr_expect_float_eq(share.Current(), 0.6, 1e-9);
  share.Update(0.1);
  cr_expect_float_eq(share.Current(), 0.1, 1e-9);
}
