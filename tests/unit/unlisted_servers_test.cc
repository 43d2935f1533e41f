#include "cowslipknot/state/unlisted_servers.h"

#include <memory>

#include "cowslipknot/state/fleet.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

const Endpoint kAddress{"127.0.0.1", 1};
const Endpoint kOtherAddress{"127.0.0.1", 2};

ServerBoot Process(const char* server, std::int64_t started_ms) {
  return {ServerId(server), started_ms};
}

InstanceRecord MakeRecord(const char* id, std::uint64_t incarnation) {
  InstanceRecord record;
  record.id = ServerId(id);
  record.kind = "engine";
  record.pool = PoolId("p");
  record.address = kAddress;
  record.incarnation = Incarnation(incarnation);
  return record;
}

}  // namespace

Test(unlisted_servers, a_process_that_is_listed_again_has_its_state) {
  UnlistedServers<int> servers;
  servers.Add(Process("a", 5), kAddress, 7);
  servers.OnListed(Process("a", 5), kAddress);
  cr_expect(servers.Take(Process("a", 5)) == 7);
  cr_expect_not(servers.Take(Process("a", 5)).has_value());
  cr_expect_eq(servers.Size(), 0u);
}

Test(unlisted_servers, a_later_process_of_the_server_ends_the_former) {
  UnlistedServers<int> servers;
  servers.Add(Process("a", 5), kAddress, 7);
  servers.OnListed(Process("a", 6), kOtherAddress);
  cr_expect_eq(servers.Size(), 0u);
}

Test(unlisted_servers, another_process_at_the_address_ends_the_former) {
  UnlistedServers<int> servers;
  servers.Add(Process("a", 5), kAddress, 7);
  servers.Add(Process("b", 5), kOtherAddress, 8);
  servers.OnListed(Process("c", 4), kAddress);
  cr_expect_not(servers.Take(Process("a", 5)).has_value());
  cr_expect(servers.Take(Process("b", 5)) == 8);
}

// A store that is restored from a copy lists a former process for a while.
Test(unlisted_servers, a_former_process_of_the_server_ends_nothing) {
  UnlistedServers<int> servers;
  servers.Add(Process("a", 5), kAddress, 7);
  servers.OnListed(Process("a", 4), kAddress);
  cr_expect(servers.Take(Process("a", 5)) == 7);
}

Test(unlisted_servers, a_process_without_a_start_time_is_not_kept) {
  UnlistedServers<int> servers;
  servers.Add(Process("a", 0), kAddress, 7);
  cr_expect_eq(servers.Size(), 0u);
}

Test(unlisted_servers, the_longest_unlisted_are_forgotten) {
  UnlistedServers<int> servers(2);
  for (int i = 1; i <= 4; ++i) servers.Add(Process("a", i), kAddress, i);
  cr_expect_eq(servers.Size(), 2u);
  cr_expect_not(servers.Take(Process("a", 2)).has_value());
  cr_expect(servers.Take(Process("a", 3)) == 3);
  servers.Add(Process("a", 4), kAddress, 9);
  servers.Add(Process("b", 1), kAddress, 10);
  servers.Add(Process("b", 2), kAddress, 11);
  cr_expect_not(servers.Take(Process("a", 4)).has_value());
}

// Guards against requests to a server in its pause after its row was missing.
Test(fleet, a_server_whose_row_comes_back_keeps_what_was_learned_of_it) {
  Fleet fleet;
  fleet.Apply({MakeRecord("s", 5)});
  fleet.Find(ServerId("s"))->load->paused_until_ns = 99;
  for (int i = 0; i < 3; ++i) {
    fleet.Find(ServerId("s"))->load->ejected_until_ms = 99;
    fleet.Remove(ServerId("s"));
    cr_expect_not(fleet.Find(ServerId("s")).has_value());
    fleet.Apply({MakeRecord("s", 5)});
    const auto server = fleet.Find(ServerId("s"));
    cr_expect_eq(server->load->paused_until_ns.load(), 99);
    cr_expect_eq(server->load->ejected_until_ms.load(), 0, "it runs");
  }
}

Test(fleet, a_new_process_starts_without_what_was_learned_of_the_former) {
  Fleet fleet;
  fleet.Apply({MakeRecord("s", 5)});
  fleet.Find(ServerId("s"))->load->paused_until_ns = 99;
  fleet.Remove(ServerId("s"));
  fleet.Apply({MakeRecord("s", 6)});
  cr_expect_eq(fleet.Find(ServerId("s"))->load->paused_until_ns.load(), 0);
}
