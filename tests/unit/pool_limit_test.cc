#include <cmath>

#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/coordination/server_pause.h"
#include "protocol/server_notices.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr std::chrono::nanoseconds kNow = std::chrono::seconds(100);
constexpr std::chrono::nanoseconds kEnd = std::chrono::seconds(101);

std::vector<ServerView> MakePool(std::size_t count) {
  std::vector<ServerView> servers(count);
  for (std::size_t i = 0; i < count; ++i) {
    servers[i].record.id = ServerId("s" + std::to_string(i));
    servers[i].load = std::make_shared<ServerLoad>();
  }
  return servers;
}

std::optional<double> StatedLimit(const char* text, const char* answered) {
  http::response_header<> header;
  header.set("X-Request-Id", answered);
  header.set("X-Limit", text);
  const auto notices = DecodeServerNotices(header, "a");
  return notices.answers_request ? notices.limit_per_s : std::nullopt;
}

}  // namespace

// Guards against a limit that is not read, and one that a server named in the
// answer to another request.
Test(pool_limit, a_limit_is_read_from_the_answer_to_the_request) {
  cr_expect(StatedLimit("2.5", "a") == 2.5);
  cr_expect(std::isnan(*StatedLimit("two", "a")));
  cr_expect(!StatedLimit("2.5", "b"));
}

// Guards against requests to a server for which no permit is to be had.
Test(pool_limit, a_withheld_server_is_not_chosen_until_the_end) {
  const auto servers = MakePool(2);
  servers[0].load->withheld_until_ns = kEnd.count();
  ChoiceContext context;
  for (std::uint64_t i = 0; i < 4; ++i) {
    context.policy = RoutingPolicy::kRoundRobin;
    context.round_robin_index = i;
    context.since_boot = kNow;
    cr_expect(ChooseServer(RequestCost(), servers, context)->index == 1);
  }
  servers[1].load->withheld_until_ns = kEnd.count();
  cr_expect(!ChooseServer(RequestCost(), servers, context));
  context.since_boot = kEnd;
  cr_expect(ChooseServer(RequestCost(), servers, context).has_value());
}

// Guards against more permits asked for while a server without a limit is free.
Test(pool_limit, servers_with_a_limit_can_be_excluded) {
  const auto servers = MakePool(2);
  servers[1].load->limited = true;
  ChoiceContext context;
  context.policy = RoutingPolicy::kRoundRobin;
  context.unlimited_only = true;
  for (std::uint64_t i = 0; i < 4; ++i) {
    context.round_robin_index = i;
    cr_expect(ChooseServer(RequestCost(), servers, context)->index == 0);
  }
}

// Guards against requests that wait while all servers are withheld.
Test(pool_limit, callers_return_when_the_first_server_is_not_withheld) {
  const auto servers = MakePool(2);
  servers[0].load->withheld_until_ns = kEnd.count();
  cr_expect(!FirstPauseEnd(servers, kNow));
  servers[1].load->paused_until_ns = kEnd.count() + 1;
  cr_expect(FirstPauseEnd(servers, kNow) == kEnd);
}
