
#include <set>

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/coordination/fair_queue.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/coordination/rendezvous.h"
#include "cowslipknot/coordination/retry_budget.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

std::vector<ServerView> MakeServers(int count) {
  std::vector<ServerView> servers;
  for (int i = 0; i < count; ++i) {
    ServerView server;
    server.record.id = ServerId("s" + std::to_string(i));
    server.record.domain = DomainId("d");
    server.load = std::make_shared<ServerLoad>();
    servers.push_back(server);
  }
  return servers;
}

RequestCost MakeCost() {
  RequestCost cost;
  cost.prompt = TokenCount(500);
  cost.output = TokenCount(100);
  cost.prefix = TokenCount(400);
  cost.prefix_hash = 42;
  return cost;
}

AdmissionRequest MakeAdmission(std::uint64_t ticket, const char* workspace,
                               std::uint64_t cost) {
  AdmissionRequest request;
  request.ticket = ticket;
  request.workspace = WorkspaceId(workspace);
  request.cost = TokenCount(cost);
  request.deadline = WallTime(1000);
  return request;
}

}  // namespace

Test(choose_server, equal_arguments_give_the_same_choice) {
  const auto servers = MakeServers(20);
  ChoiceContext context;
  context.draw = 0.3;
  const auto first = ChooseServer(MakeCost(), servers, context);
  const auto second = ChooseServer(MakeCost(), servers, context);
  cr_assert(first.has_value());
  cr_expect_eq(first->index, second->index);
}

Test(choose_server, an_idle_server_is_chosen_over_a_loaded_preferred_one) {
  const auto servers = MakeServers(8);
  ChoiceContext context;
  context.now = WallTime(1700000000000);
  const auto preferred = ChooseServer(MakeCost(), servers, context);
  servers[preferred->index].load->in_flight_tokens = 100000;
  const auto other = ChooseServer(MakeCost(), servers, context);
  cr_expect_neq(preferred->index, other->index);
}

Test(choose_server, the_queue_estimate_falls_with_the_age_of_the_report) {
  ServerLoad load;
  load.prefill_tokens_per_second = 1000;
  RecordQueueReport(load, TokenCount(500), WallTime(10000));
  cr_expect_eq(EstimateQueue(load, WallTime(10000)).Count(), 500u);
  cr_expect_eq(EstimateQueue(load, WallTime(10250)).Count(), 250u);
  cr_expect_eq(EstimateQueue(load, WallTime(99999)).Count(), 0u);
}

Test(choose_server, slow_first_tokens_lower_the_estimated_prefill_rate) {
  ServerLoad load;
  const auto before = load.prefill_tokens_per_second.load();
  for (int i = 0; i < 20; ++i) {
    RecordFirstToken(load, TokenCount(1000), Milliseconds(4000));
  }
  cr_expect_lt(load.prefill_tokens_per_second.load(), before / 4);
}

Test(choose_server,
     only_busy_servers_far_over_the_latency_target_are_rejected) {
  const Milliseconds target(1000);
  ServerLoad load;
  ServerSelection selection;
  selection.first_token = Milliseconds(9000);
  cr_expect_not(CannotMeetTarget(selection, load, target));
  load.in_flight = 1;
  cr_expect(CannotMeetTarget(selection, load, target));
  selection.first_token = Milliseconds(1500);
  cr_expect_not(CannotMeetTarget(selection, load, target));
}

Test(choose_server, failing_servers_are_avoided_until_most_of_them_fail) {
  const auto servers = MakeServers(4);
  ChoiceContext context;
  context.policy = RoutingPolicy::kLeastOutstanding;
  for (int i = 0; i < 3; ++i)
    RecordAttempt(*servers[0].load, false, WallTime(1));
  for (int step = 0; step < 20; ++step) {
    context.draw = step / 20.0;
    cr_expect_neq(ChooseServer(RequestCost(), servers, context)->index, 0u);
  }
  for (std::size_t s = 1; s < 4; ++s) {
    for (int i = 0; i < 3; ++i) {
      RecordAttempt(*servers[s].load, false, WallTime(1));
    }
  }
  cr_expect(ChooseServer(RequestCost(), servers, context).has_value());
}

Test(choose_server, an_empty_server_list_returns_the_no_server_error) {
  const auto choice = ChooseServer(RequestCost(), {}, ChoiceContext());
  cr_assert_not(choice.has_value());
  cr_expect(choice.error().code == ResultCode::kNoServer);
}

Test(rendezvous, removing_a_member_moves_only_its_own_keys) {
  std::vector<CandidateInstance> members;
  members.reserve(10);
  for (int i = 0; i < 10; ++i) {
    members.push_back({NodeId("n" + std::to_string(i)), false});
  }
  auto fewer = members;
  fewer.pop_back();
  int moved = 0;
  for (int i = 0; i < 500; ++i) {
    const RequestId id("r" + std::to_string(i));
    const auto before = RankInstances(id, NodeId(), members).front();
    const auto after = RankInstances(id, NodeId(), fewer).front();
    if (before.Text() != "n9") cr_expect(before == after);
    moved += before.Text() == "n9";
  }
  cr_expect_gt(moved, 0);
}

Test(rendezvous, draining_instances_are_never_holders) {
  const std::vector<CandidateInstance> members = {{NodeId("a"), true},
                                                  {NodeId("b"), false}};
  const auto ranked = RankInstances(RequestId("x"), NodeId("c"), members);
  cr_assert_eq(ranked.size(), 1u);
  cr_expect_eq(ranked.front().Text(), std::string("b"));
}

Test(fair_queue, a_surging_workspace_cannot_starve_another) {
  FairQueue queue(TokenCount(100));
  std::uint64_t ticket = 0;
  for (int i = 0; i < 50; ++i) queue.Submit(MakeAdmission(++ticket, "big", 50));
  queue.Submit(MakeAdmission(1000, "small", 50));
  std::set<std::uint64_t> admitted;
  for (int i = 0; i < 3; ++i) {
    for (const auto next : queue.Release(TokenCount(50), WallTime(0))) {
      admitted.insert(next);
    }
  }
  cr_expect(admitted.contains(1000));
}

Test(fair_queue, exceeds_its_limit_only_for_a_single_large_request) {
  FairQueue queue(TokenCount(100));
  cr_expect(queue.Submit(MakeAdmission(1, "a", 500)) == Admission::kAdmitted);
  cr_expect(queue.Submit(MakeAdmission(2, "a", 10)) == Admission::kQueued);
  cr_expect_eq(queue.Release(TokenCount(500), WallTime(0)).size(), 1u);
  cr_expect_leq(queue.InFlight().Count(), 100u);
}

Test(fair_queue, interactive_requests_go_before_patient_ones) {
  FairQueue queue(TokenCount(10));
  queue.Submit(MakeAdmission(1, "a", 10));
  auto patient = MakeAdmission(2, "a", 10);
  patient.request_class = RequestClass::kPatient;
  queue.Submit(patient);
  queue.Submit(MakeAdmission(3, "a", 10));
  const auto admitted = queue.Release(TokenCount(10), WallTime(0));
  cr_assert_eq(admitted.size(), 1u);
  cr_expect_eq(admitted.front(), 3u);
}

Test(retry_budget, retries_stay_within_their_ratio_to_requests) {
  RetryBudget budget(0.1, 5);
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordRequest();
    spent += budget.TrySpend() ? 1 : 0;
  }
  cr_expect_leq(spent, 105);
  cr_expect_geq(spent, 95);
}

Test(lease, two_instances_never_act_at_once_for_any_read_delay) {
  using Time = LeaseView::Time;
  const Milliseconds duration(1000);
  LeaseView old_holder(NodeId("a"), duration);
  LeaseView challenger(NodeId("b"), duration);
  const Time start{};
  old_holder.Observe(std::nullopt, {}, start);
  const LeaseRow row = old_holder.NextRow();
  const StorePosition position{StoreEra(1), StoreVersion(1)};
  old_holder.RecordOwnWrite(row, position, start);
  // The challenger may read the row early or late; it measures the lease from
  // the time of its own read.
  for (int read_ms = 0; read_ms <= 3000; read_ms += 100) {
    LeaseView reader(NodeId("b"), duration);
    const Time read_at = start + Milliseconds(read_ms);
    reader.Observe(row, position, read_at);
    for (int at_ms = read_ms; at_ms <= 6000; at_ms += 50) {
      const Time at = start + Milliseconds(at_ms);
      cr_expect_not(old_holder.MayAct(at) && reader.MayAcquire(at));
    }
  }
}

Test(lease, a_restarted_holder_does_not_act_on_its_predecessors_row) {
  LeaseView view(NodeId("a"), Milliseconds(1000));
  const StorePosition position{StoreEra(1), StoreVersion(17)};
  view.Observe(LeaseRow{NodeId("a"), EpochAt(position), 9, StoreEra(1)},
               position, LeaseView::Time{});
  cr_expect_not(view.MayAct(LeaseView::Time{}));
  view.RecordOwnWrite(view.NextRow(), {StoreEra(1), StoreVersion(18)},
                      LeaseView::Time{});
  cr_expect_gt(view.CurrentEpoch().Count(), EpochAt(position).Count());
}
