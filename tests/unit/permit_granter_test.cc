#include "cowslipknot/coordination/permit_granter.h"

#include <rapidcheck.h>

#include <deque>
#include <random>

#include "unit_test.h"

using namespace cowslipknot;
using std::chrono::milliseconds;

namespace {

using Time = PermitGranter::Time;

constexpr milliseconds kHandOver(4000);
constexpr milliseconds kWindow(4000);
const ServerId kServer("s1");

std::vector<PermitInstance> MakeInstances(int count, int domains) {
  std::vector<PermitInstance> instances;
  instances.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    instances.push_back({NodeId("n" + std::to_string(i)),
                         DomainId("d" + std::to_string(i % domains))});
  }
  return instances;
}

PermitGranter MakeMain() {
  PermitGranter granter(kHandOver);
  granter.SetRole(GranterRole::kMain, Time(0) - kHandOver);
  return granter;
}

std::uint32_t CountGranted(PermitGranter& granter, double limit, Time from,
                           Time until) {
  std::uint32_t granted = 0;
  for (Time now = from; now < until; now += milliseconds(10)) {
    const auto answer = granter.Ask(GranterRole::kMain, NodeId("n1"),
                                    RequestRate(limit), 1, now);
    granted += answer->permits;
  }
  return granted;
}

/// Instances whose knowledge of the others lags, which ask each other for
/// permits of one server.
class Simulation {
 public:
  Simulation(int instances, int domains, std::uint32_t seed)
      : m_random(seed), m_all(MakeInstances(instances, domains)) {
    for (const auto& instance : m_all) {
      Node node{instance, m_all, PermitGranter(kHandOver)};
      node.granter.SetRole(FindRole(kServer, instance.node, m_all),
                           Time(0) - kHandOver);
      m_nodes.push_back(std::move(node));
    }
  }

  void Run(milliseconds length) {
    for (Time now(0); now < length; now += milliseconds(20)) {
      ChangeSomething(now);
      for (auto& node : m_nodes) {
        Learn(node, now);
        if (Draw() < 0.8) Ask(node, now);
      }
      Check(now);
    }
  }

 private:
  struct Node {
    PermitInstance self;
    std::vector<PermitInstance> known;
    PermitGranter granter;
    bool is_gone = false;
    std::deque<std::pair<Time, std::vector<PermitInstance>>> news;
  };

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  /// Changes the limit, or an instance comes or goes; the others learn of that
  /// at different times, within the hand-over time.
  void ChangeSomething(Time now) {
    if (Draw() < 0.01) m_limit = Draw() < 0.2 ? 0 : 1 + 30 * Draw() * Draw();
    if (Draw() >= 0.004) return;
    Node& changed = m_nodes[m_random() % m_nodes.size()];
    changed.is_gone = !changed.is_gone;
    std::vector<PermitInstance> present;
    for (const auto& node : m_nodes) {
      if (!node.is_gone) present.push_back(node.self);
    }
    for (auto& node : m_nodes) {
      const milliseconds delay(m_random() %
                               static_cast<unsigned>(kHandOver.count()));
      // What is older than the news known has no effect.
      std::erase_if(node.news,
                    [&](const auto& item) { return item.first > now + delay; });
      node.news.emplace_back(now + delay, present);
    }
  }

  void Learn(Node& node, Time now) {
    bool learned = false;
    for (auto& [when, instances] : node.news) {
      if (when > now) continue;
      node.known = instances;
      learned = true;
    }
    if (!learned) return;
    std::erase_if(node.news,
                  [now](const auto& item) { return item.first <= now; });
    node.granter.SetRole(FindRole(kServer, node.self.node, node.known), now);
  }

  Node* Find(const std::optional<NodeId>& id) {
    for (auto& node : m_nodes) {
      if (id && node.self.node == *id && !node.is_gone) return &node;
    }
    return nullptr;
  }

  void Ask(Node& node, Time now) {
    if (node.is_gone) return;
    // Some do not reach the main granter.
    const bool reaches = Draw() < 0.7;
    if (reaches) {
      Node* main = Find(ChooseGranter(kServer, node.known));
      if (main != nullptr && Grant(*main, node, GranterRole::kMain, 1, now))
        return;
    }
    Node* substitute =
        Find(ChooseSubstitute(kServer, node.self.domain, node.known));
    if (substitute == nullptr) return;
    Grant(*substitute, node, GranterRole::kSubstitute,
          SubstituteShare(substitute->known), now);
  }

  /// @return whether the granter acts in the role
  bool Grant(Node& granter, const Node& asker, GranterRole role, double share,
             Time now) {
    const auto answer = granter.granter.Ask(role, asker.self.node,
                                            RequestRate(m_limit), share, now);
    if (!answer) return false;
    for (std::uint32_t i = 0; i < answer->permits; ++i)
      m_granted.push_back(now);
    return true;
  }

  void Check(Time now) {
    m_limits.emplace_back(now, m_limit);
    while (m_limits.front().first <= now - kWindow) m_limits.pop_front();
    while (!m_granted.empty() && m_granted.front() <= now - kWindow)
      m_granted.pop_front();
    double allowed = 0;
    for (const auto& [when, limit] : m_limits) allowed += limit * 0.02;
    RC_ASSERT(static_cast<double>(m_granted.size()) <= 1.5 * allowed + 5);
  }

  std::mt19937 m_random;
  std::vector<PermitInstance> m_all;
  std::vector<Node> m_nodes;
  double m_limit = 2;
  std::deque<Time> m_granted;
  std::deque<std::pair<Time, double>> m_limits;
};

}  // namespace

Test(permit_granter, instances_agree_on_the_granter_whatever_their_order) {
  auto instances = MakeInstances(5, 4);
  const auto granter = ChooseGranter(kServer, instances);
  std::reverse(instances.begin(), instances.end());
  cr_expect(granter == ChooseGranter(kServer, instances));
  cr_expect_not(ChooseGranter(kServer, {}));
  std::size_t main = 0;
  for (const auto& instance : instances) {
    main += FindRole(kServer, instance.node, instances) == GranterRole::kMain;
  }
  cr_expect_eq(main, 1);
}

Test(permit_granter, few_domains_have_a_substitute_and_it_is_not_the_granter) {
  const auto instances = MakeInstances(30, 6);
  std::size_t substitutes = 0;
  for (int i = 0; i < 6; ++i) {
    const DomainId domain("d" + std::to_string(i));
    const auto substitute = ChooseSubstitute(kServer, domain, instances);
    if (!substitute) continue;
    ++substitutes;
    cr_expect(substitute != ChooseGranter(kServer, instances));
  }
  cr_expect_eq(substitutes, kMaxSubstituteDomains);
}

Test(permit_granter, a_granter_grants_the_limit) {
  PermitGranter granter = MakeMain();
  CountGranted(granter, 2, Time(0), std::chrono::seconds(4));
  const auto granted = CountGranted(granter, 2, std::chrono::seconds(4),
                                    std::chrono::seconds(44));
  cr_expect_geq(granted, 78);
  cr_expect_leq(granted, 82);
}

Test(permit_granter, a_request_now_and_then_is_granted_at_a_limit_of_zero) {
  PermitGranter granter = MakeMain();
  const auto granted =
      CountGranted(granter, 0, Time(0), std::chrono::seconds(60));
  cr_expect_geq(granted, 10);
  cr_expect_leq(granted, 12);
}

Test(permit_granter, a_high_limit_is_granted_in_portions) {
  PermitGranter granter = MakeMain();
  std::uint32_t most = 0;
  std::uint32_t granted = 0;
  for (Time now(0); now < std::chrono::seconds(10); now += milliseconds(50)) {
    const auto answer =
        granter.Ask(GranterRole::kMain, NodeId("n1"), RequestRate(200), 1, now);
    most = std::max(most, answer->permits);
    granted += answer->permits;
  }
  cr_expect_geq(most, 5);
  cr_expect_geq(granted, 1900);
}

Test(permit_granter, askers_that_are_denied_return_one_after_the_other) {
  PermitGranter granter = MakeMain();
  const Time now = std::chrono::seconds(1);
  const auto ask = [&granter, now](const char* asker) {
    return granter
        .Ask(GranterRole::kMain, NodeId(asker), RequestRate(5), 1, now)
        ->wait.count();
  };
  cr_expect_eq(ask("a"), 200);
  cr_expect_eq(ask("b"), 400);
  cr_expect_eq(ask("c"), 600);
  cr_expect_eq(ask("a"), 600);
}

// Guards against two granters that add up while not all know of a change.
Test(permit_granter, a_new_granter_waits_until_all_know_of_it) {
  PermitGranter granter(kHandOver);
  const auto ask = [&granter](GranterRole role, Time now) {
    return granter.Ask(role, NodeId("n1"), RequestRate(5), 1, now);
  };
  cr_expect_not(ask(GranterRole::kMain, Time(0)));
  granter.SetRole(GranterRole::kMain, Time(0));
  cr_expect_not(ask(GranterRole::kMain, kHandOver - milliseconds(1)));
  cr_expect(ask(GranterRole::kMain, kHandOver).has_value());
  cr_expect_not(ask(GranterRole::kSubstitute, kHandOver));
  granter.SetRole(GranterRole::kNone, kHandOver);
  cr_expect_not(ask(GranterRole::kMain, kHandOver * 2));
}

// Guards against a process that uses a permit after it was paused.
Test(permit_granter, a_permit_that_was_not_used_in_time_is_void) {
  HeldPermits held;
  held.Add(2, Time(0));
  cr_expect(held.Take(milliseconds(249)));
  cr_expect_not(held.Take(milliseconds(250)));
  held.Add(1, milliseconds(300));
  cr_expect(held.Take(milliseconds(300)));
  cr_expect_not(held.Take(milliseconds(301)));
}

Test(permit_granter, all_granters_together_stay_within_the_tolerance) {
  cr_assert(rc::check([] {
    const auto instances = *rc::gen::inRange(1, 30);
    const auto domains = *rc::gen::inRange(1, 7);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    Simulation simulation(instances, domains, seed);
    simulation.Run(std::chrono::seconds(30));
  }));
}
