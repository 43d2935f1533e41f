#include <rapidcheck.h>

#include <algorithm>

#include "cowslipknot/gateway/fleet_view.h"
#include "cowslipknot/gateway/registration_log.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr std::chrono::nanoseconds kNow = std::chrono::seconds(50);

/// A position of a store that has been restored once.
StorePosition At(std::uint64_t version) {
  return {StoreEra(1), StoreVersion(version)};
}

ServerEntry MakeServer(const std::string& id, std::uint64_t version) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId("s");
  entry.position = At(version);
  return entry;
}

InstanceReport MakeReport(const std::string& node, const std::string& domain,
                          std::uint64_t started_ms) {
  InstanceReport report;
  report.node = NodeId(node);
  report.domain = DomainId(domain);
  report.started_ms = started_ms;
  report.peers = Endpoint{"10.0.0.1", 7600};
  report.demand[WorkspaceId("w")] = 10;
  return report;
}

FleetView MakeFleet(const std::vector<InstanceReport>& reports) {
  std::vector<const InstanceReport*> serving(reports.size());
  std::transform(reports.begin(), reports.end(), serving.begin(),
                 [](const InstanceReport& report) { return &report; });
  return SummarizeReports(serving);
}

/// A follower of a log: what it knows after each update.
class Follower {
 public:
  void Update(const RegistrationLog& log) {
    const auto changes = log.Since(m_cursor);
    m_received += changes.changes.size();
    std::vector<ServerEntry> entries;
    for (const auto& change : changes.changes) {
      if (change.entry) entries.push_back(*change.entry);
    }
    if (changes.complete) {
      m_registry.Replace(entries, kNow, log.Position());
    } else {
      m_registry.Apply(changes.changes, kNow);
    }
    m_cursor = changes.cursor;
  }
  std::vector<ServerId> Servers() const {
    const auto usable = m_registry.UsableServers();
    std::vector<ServerId> ids;
    ids.reserve(usable.size());
    for (const auto& entry : usable) ids.push_back(entry.id);
    return ids;
  }
  std::size_t Received() const { return m_received; }

 private:
  ServerRegistry m_registry{Milliseconds(2000)};
  std::uint64_t m_cursor = 0;
  std::size_t m_received = 0;
};

}  // namespace

// Load pattern: 251 servers that each write a heartbeat every 1.2 s.
Test(registration_log, heartbeats_are_not_passed_on) {
  RegistrationLog log;
  Follower follower;
  for (std::uint64_t round = 1; round <= 20; ++round) {
    std::vector<ServerEntry> servers;
    for (std::uint64_t i = 0; i < 251; ++i) {
      servers.push_back(MakeServer("s" + std::to_string(i), round * 1000 + i));
    }
    log.Update(servers, At(round * 1000 + 999));
    follower.Update(log);
  }
  cr_expect_eq(follower.Received(), 251u);
  cr_expect_eq(follower.Servers().size(), 251u);
}

Test(registration_log, a_follower_knows_what_the_relay_knows) {
  cr_assert(rc::check([] {
    RegistrationLog log;
    std::vector<Follower> followers(3);
    std::vector<ServerId> usable;
    const auto rounds = *rc::gen::inRange<std::uint64_t>(1, 40);
    for (std::uint64_t round = 1; round <= rounds; ++round) {
      std::vector<ServerEntry> servers;
      usable.clear();
      for (int i = 0; i < 6; ++i) {
        if (!*rc::gen::arbitrary<bool>()) continue;
        servers.push_back(MakeServer("s" + std::to_string(i), round));
        usable.push_back(servers.back().id);
      }
      log.Update(servers, At(round));
      // Followers skip updates at random.
      for (auto& follower : followers) {
        if (*rc::gen::arbitrary<bool>()) follower.Update(log);
      }
    }
    for (auto& follower : followers) {
      follower.Update(log);
      RC_ASSERT(follower.Servers() == usable);
    }
  }));
}

// Guards against a cursor that a follower takes from one relay to another: the
// second one would leave out registrations that it never sent.
Test(fleet_view, relays_that_start_in_one_millisecond_are_two_processes) {
  const FleetView fleet =
      MakeFleet({MakeReport("a", "d", 100), MakeReport("b", "d", 100),
                 MakeReport("c", "d", 300), MakeReport("e", "d", 300)});
  const auto relays = SelectRelays(fleet, DomainId("d"));
  cr_assert_eq(relays.size(), 2u);
  cr_expect_not(IsSameProcess(relays[0], relays[1]));
  InstanceSummary restarted = relays[0];
  restarted.started_ms = 400;
  cr_expect_not(IsSameProcess(relays[0], restarted));
  cr_expect(IsSameProcess(relays[0], relays[0]));
}

Test(registration_log, a_follower_far_behind_receives_the_complete_list) {
  RegistrationLog log;
  Follower follower;
  log.Update({MakeServer("kept", 1), MakeServer("first", 1)}, At(1));
  follower.Update(log);
  for (std::uint64_t round = 2; round < 1002; ++round) {
    log.Update({MakeServer("kept", round),
                MakeServer("s" + std::to_string(round), round)},
               At(round));
  }
  log.Update({MakeServer("kept", 2000)}, At(2000));
  follower.Update(log);
  cr_expect_eq(follower.Servers().size(), 1u);
}

Test(server_registry, a_relay_that_lags_behind_brings_no_leaving_server_back) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeServer("a", 10), MakeServer("b", 11)}, kNow, At(12));
  cr_expect(registry.OnServerLeaving(ServerId("a"), 0, kNow, At(20)));
  registry.Apply({{ServerId("b"), std::nullopt, At(21)}}, kNow);
  cr_expect(registry.UsableServers().empty());
  registry.Replace({MakeServer("a", 15), MakeServer("b", 16)}, kNow, At(18));
  cr_expect(registry.UsableServers().empty(),
            "both entries are older than what is known");
  registry.Apply({{ServerId("a"), MakeServer("a", 15)}}, kNow);
  cr_expect(registry.UsableServers().empty());
  registry.Apply({{ServerId("b"), MakeServer("b", 30)}}, kNow);
  cr_expect_eq(registry.UsableServers().size(), 1u,
               "a later registration counts");
}

// A relay that learned of a leaving server from another instance passes it on
// with the version of its own last read, and does not mention the server again.
// A follower that read the store in between must still remove it.
Test(server_registry, a_removal_takes_effect_although_it_lags_behind) {
  ServerRegistry registry(Milliseconds(2000));
  registry.Replace({MakeServer("a", 10), MakeServer("b", 11)}, kNow, At(12));
  registry.Apply({{ServerId("a"), std::nullopt, At(9)}}, kNow);
  cr_expect_eq(registry.UsableServers().size(), 1u);
  registry.Replace({}, kNow, At(9));
  cr_expect(registry.UsableServers().empty());
  registry.Apply({{ServerId("a"), MakeServer("a", 10)}}, kNow);
  cr_expect_eq(registry.UsableServers().size(), 1u,
               "the relay has caught up with a server that had come back");
}

// The store refuses some instances and a follower changes between its relay and
// the store: the grace periods of both must not add up.
Test(server_registry, a_removal_by_a_relay_has_no_second_grace_period) {
  ServerRegistry registry(Milliseconds(2000));
  registry.OnRead(kNow - std::chrono::seconds(9));
  registry.Replace({MakeServer("a", 10), MakeServer("b", 11)}, kNow, At(12));
  registry.OnReadFailed(kNow);
  registry.OnRead(kNow);
  registry.Replace({MakeServer("b", 11)}, kNow, At(13));
  cr_expect_eq(registry.UsableServers().size(), 2u, "a may register again");
  registry.EndGrace(kNow);
  registry.Replace({MakeServer("b", 11)}, kNow, At(14));
  cr_expect_eq(registry.UsableServers().size(), 1u);
  registry.Apply({{ServerId("b"), std::nullopt, At(15)}}, kNow);
  cr_expect(registry.UsableServers().empty());
}

Test(relays, a_domain_with_few_instances_has_none) {
  const FleetView fleet =
      MakeFleet({MakeReport("a", "d1", 1), MakeReport("b", "d1", 2),
                 MakeReport("c", "d1", 3), MakeReport("d", "d2", 4)});
  cr_expect(SelectRelays(fleet, DomainId("d1")).empty());
}

Test(relays, the_longest_running_instances_are_relays_whoever_joins) {
  std::vector<InstanceReport> reports;
  for (const char* name : {"e", "d", "c", "b", "a"}) {
    reports.push_back(MakeReport(name, "d1", 100 + reports.size()));
  }
  const auto relays = SelectRelays(MakeFleet(reports), DomainId("d1"));
  cr_assert_eq(relays.size(), 2u);
  cr_expect_eq(relays[0].node.Text(), "e");
  cr_expect_eq(relays[1].node.Text(), "d");
  reports.push_back(MakeReport("A", "d1", 999));
  const auto later = SelectRelays(MakeFleet(reports), DomainId("d1"));
  cr_expect(later == relays);
}

Test(relays, the_digest_differs_with_any_instance) {
  const FleetView one = MakeFleet({MakeReport("a", "d", 1)});
  const FleetView two = MakeFleet({MakeReport("a", "d", 2)});
  cr_expect_neq(DigestInstances(one.serving), DigestInstances(two.serving));
  cr_expect_eq(one.demand.at(WorkspaceId("w")), 10);
}
