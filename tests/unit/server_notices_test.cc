#include "protocol/server_notices.h"

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/state/fleet.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

const ServerId kServer("s0");

InstanceRecord MakeRecord(std::uint64_t incarnation) {
  InstanceRecord record;
  record.id = kServer;
  record.kind = "engine";
  record.pool = PoolId("p");
  record.incarnation = Incarnation(incarnation);
  return record;
}

std::vector<ServerView> AvailableServers(const Fleet& fleet) {
  const auto pools = fleet.Available();
  const auto found = pools.find(PoolId("p"));
  return found == pools.end() ? std::vector<ServerView>() : found->second;
}

http::response_header<> MakeHeader(http::status status) {
  http::response_header<> header;
  header.result(status);
  return header;
}

}  // namespace

// Guards against requests sent to a server that said so in an answer other
// than a refusal.
Test(server_notices, a_server_says_in_any_answer_that_it_leaves) {
  for (const auto status :
       {http::status::ok, http::status::not_found,
        http::status::internal_server_error, http::status::bad_gateway,
        http::status::service_unavailable}) {
    auto header = MakeHeader(status);
    cr_expect_not(DecodeServerNotices(header, "a").is_leaving);
    header.set("X-Leaving", "1");
    cr_expect(DecodeServerNotices(header, "a").is_leaving);
  }
}

Test(server_notices, a_late_answer_to_another_request_says_nothing) {
  auto header = MakeHeader(http::status::ok);
  header.set("X-Leaving", "1");
  header.set("X-Request-Id", "a");
  cr_expect(DecodeServerNotices(header, "a").is_leaving);
  cr_expect_not(DecodeServerNotices(header, "b").is_leaving);
}

// Guards against a retry before the control thread has published the notice.
Test(server_notices, a_leaving_server_is_not_chosen_even_as_the_last_one) {
  std::vector<ServerView> servers(2);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].record.id = ServerId("s" + std::to_string(i));
    servers[i].load = std::make_shared<ServerLoad>();
  }
  ChoiceContext context;
  context.now = WallTime(1000);
  cr_expect(RecordLeaving(*servers[0].load));
  cr_expect_not(RecordLeaving(*servers[0].load));
  for (const auto policy :
       {RoutingPolicy::kPredicted, RoutingPolicy::kRoundRobin,
        RoutingPolicy::kLeastOutstanding, RoutingPolicy::kAffinity}) {
    context.policy = policy;
    for (int step = 0; step < 20; ++step) {
      context.draw = step / 20.0;
      context.round_robin_index = static_cast<std::uint64_t>(step);
      const auto choice = ChooseServer(RequestCost(), servers, context);
      cr_assert(choice.has_value());
      cr_expect_eq(choice->index, 1u);
    }
  }
  for (int i = 0; i < 3; ++i) {
    RecordAttempt(*servers[1].load, false, context.now);
  }
  cr_expect_eq(ChooseServer(RequestCost(), servers, context)->index, 1u);
  context.tried = {servers[1].record.id};
  cr_expect_not(ChooseServer(RequestCost(), servers, context).has_value());
}

Test(server_notices, only_a_new_incarnation_ends_the_leaving_of_a_server) {
  Fleet fleet;
  fleet.Apply({MakeRecord(1)});
  cr_expect(fleet.MarkLeaving(kServer, Incarnation(1)));
  cr_expect(AvailableServers(fleet).empty());
  // The list is restored, or loses the row for a while.
  fleet.Apply({MakeRecord(1)});
  cr_expect(AvailableServers(fleet).empty());
  fleet.Remove(kServer);
  fleet.Apply({MakeRecord(1)});
  cr_expect(AvailableServers(fleet).empty());
  cr_expect_not(fleet.MarkLeaving(kServer, Incarnation(1)));
  fleet.Apply({MakeRecord(2)});
  cr_expect_eq(AvailableServers(fleet).size(), 1u);
}

Test(server_notices,
     an_answer_of_a_former_incarnation_says_nothing_about_the_new_one) {
  Fleet fleet;
  fleet.Apply({MakeRecord(1)});
  const auto former = AvailableServers(fleet).front();
  fleet.Apply({MakeRecord(2)});
  RecordLeaving(*former.load);
  cr_expect_not(fleet.MarkLeaving(former.record.id, former.record.incarnation));
  const auto servers = AvailableServers(fleet);
  cr_assert_eq(servers.size(), 1u);
  cr_expect(ChooseServer(RequestCost(), servers, ChoiceContext()).has_value());
}

Test(server_notices, leaving_marks_of_removed_servers_are_bounded) {
  Fleet fleet;
  for (std::uint64_t i = 1; i <= 10000; ++i) {
    auto record = MakeRecord(1);
    record.id = ServerId("s" + std::to_string(i));
    fleet.Apply({record});
    fleet.MarkLeaving(record.id, record.incarnation);
    fleet.Remove(record.id);
  }
  cr_expect_leq(fleet.LeavingCount(), 4096u);
  cr_expect_not(fleet.MarkLeaving(ServerId("s10000"), Incarnation(1)));
}
