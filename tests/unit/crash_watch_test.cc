#include "serve/crash_watch.h"

#include "base/clock.h"
#include "serve/crash_reports.h"
#include "transport/endpoint.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

const WorkspaceId kWorkspace("clerks");
const RouteId kRoute("filings");

Suspects SuspectsOfBody(std::string_view body) {
  return SuspectsOf(kWorkspace, kRoute, "POST", "/filings/new", body);
}

/// A crash watch without peers, and the address of a server that is down.
class WatchOfDownServer {
 public:
  WatchOfDownServer()
      : m_watch(m_context.get_executor(), NodeId("node"), std::nullopt,
                MakeHooks()) {
    tcp::acceptor closed(m_context, {asio::ip::make_address("127.0.0.1"), 0});
    m_address = {"127.0.0.1", closed.local_endpoint().port()};
  }

  /// Reports a broken answer, and waits for the check of the server.
  void BreakOff(const Suspects& suspects, std::chrono::nanoseconds sent) {
    m_watch.OnBreakOffOfListed(m_listed, m_address, suspects, sent);
    m_context.restart();
    m_context.run();
  }
  bool Holds(const Suspects& suspects) {
    return m_watch.TimeUntilTrial(suspects).has_value();
  }

 private:
  static CrashWatch::Hooks MakeHooks() {
    CrashWatch::Hooks hooks;
    hooks.peers = [] { return std::vector<Endpoint>(); };
    hooks.broadcast = [](const auto&, const auto&) {};
    return hooks;
  }

  asio::io_context m_context;
  CrashWatch m_watch;
  ServerBoot m_listed{ServerId("plain-0"), 1};
  Endpoint m_address;
};

}  // namespace

// Guards against a hold of requests that share only some of what their caller
// sent with the one that crashes servers.
Test(crash_watch, a_request_is_the_same_only_if_all_that_was_sent_is) {
  const Suspects suspects = SuspectsOfBody("lot");
  cr_assert(suspects == SuspectsOfBody("lot"));
  cr_assert(suspects != SuspectsOfBody("other"));
  cr_assert(suspects != SuspectsOf(WorkspaceId("planners"), kRoute, "POST",
                                   "/filings/new", "lot"));
  cr_assert(suspects != SuspectsOf(kWorkspace, RouteId("stock"), "POST",
                                   "/filings/new", "lot"));
  cr_assert(suspects !=
            SuspectsOf(kWorkspace, kRoute, "PUT", "/filings/new", "lot"));
  cr_assert(suspects !=
            SuspectsOf(kWorkspace, kRoute, "POST", "/filings/new?a", "lot"));
}

// Guards against crashes that are not counted since the server came back
// before its new incarnation was listed.
Test(crash_watch, a_server_that_is_back_unlisted_is_another_process) {
  WatchOfDownServer watch;
  const Suspects suspects = SuspectsOfBody("lot");
  for (int crash = 0; crash < 3; ++crash) {
    cr_assert(!watch.Holds(suspects));
    watch.BreakOff(suspects, TimeSinceBoot());
  }
  cr_assert(watch.Holds(suspects));
}

// Guards against one crash that counts several times because it broke off
// several answers.
Test(crash_watch, answers_that_one_crash_breaks_off_count_once) {
  WatchOfDownServer watch;
  const Suspects suspects = SuspectsOfBody("lot");
  const auto sent = TimeSinceBoot();
  for (int answer = 0; answer < 4; ++answer) watch.BreakOff(suspects, sent);
  cr_assert(!watch.Holds(suspects));
}

// Guards against a crash that passes for a complete answer.
Test(crash_watch, only_framing_tells_an_end_from_a_crash) {
  http::response_header<> header;
  cr_assert(!HasFraming(header));
  header.set(http::field::content_length, "2");
  cr_assert(HasFraming(header));
  header.clear();
  header.set(http::field::transfer_encoding, "chunked");
  cr_assert(HasFraming(header));
}

// Guards against servers that are checked, and blamed, for requests that they
// never got.
Test(crash_watch, an_attempt_that_was_not_sent_is_no_break_off) {
  cr_assert(IsBreakOff(
      {ResultCode::kBackendFailed, "end of stream", Execution::kUnknown}));
  cr_assert(!IsBreakOff(
      {ResultCode::kBackendFailed, "end of stream", Execution::kNotRun}));
  cr_assert(!IsBreakOff(
      {ResultCode::kBackendTimeout, "timeout", Execution::kUnknown}));
}
