#include "serve/permit_book.h"

#include "base/clock.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

using Time = std::chrono::nanoseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ServerId kServer("s");
const ServerBoot kStart{kServer, 7};

PermitInstance InDomain(const char* node, const char* domain) {
  return {NodeId(node), DomainId(domain)};
}

LimitStatement Stating(std::optional<RequestRate> limit, Time age = Time(0)) {
  const Time read = TimeSinceBoot() - age;
  return {limit, read, read};
}

/// The permits of one instance, a server that it may list, and what its hooks
/// were called with.
class BookOfInstance {
 public:
  explicit BookOfInstance(const NodeId& node)
      : m_book({node, DomainId("west"), true}, MakeHooks()) {}

  /// Takes over its roles `age` ago.
  void Know(std::vector<PermitInstance> granters, Time age,
            bool voids_roles = false, double fraction = 1) {
    m_book.UpdateInstances(
        {std::move(granters), TimeSinceBoot() - age, voids_roles, fraction});
  }
  void List(std::optional<PermitServer> server) {
    m_server = server;
    m_book.UpdateServers();
  }
  bool Acquire(const ServerBoot& start = kStart) {
    bool permitted = false;
    asio::co_spawn(
        m_context,
        [&]() -> Awaitable<void> {
          permitted = co_await m_book.Acquire(start);
        },
        asio::detached);
    m_context.restart();
    m_context.run();
    return permitted;
  }
  int CountAcquired(int attempts) {
    int permitted = 0;
    for (int i = 0; i < attempts; ++i) permitted += Acquire() ? 1 : 0;
    return permitted;
  }

  void Wait(milliseconds duration) {
    asio::steady_timer(m_context, duration).wait();
  }
  void ForgetState() { m_state = PermitState(); }
  void SetKnowsInstances(bool knows) { m_knows_instances = knows; }

  PermitBook& Book() { return m_book; }
  const PermitState& State() const { return m_state; }
  int Asked() const { return m_asked; }
  int Told() const { return m_told; }
  int Count(PermitEvent event) { return m_counts[event]; }

  /// What other instances respond; none respond before it is set.
  std::function<Result<PeerFrame>(const PeerFrame&)> respond =
      [](const PeerFrame&) { return Fail(ResultCode::kPeerUnreachable); };

 private:
  PermitBook::Hooks MakeHooks() {
    PermitBook::Hooks hooks;
    hooks.call = [this](const NodeId&,
                        PeerFrame frame) -> Awaitable<Result<PeerFrame>> {
      ++m_asked;
      co_return respond(frame);
    };
    hooks.tell = [this](const auto&, const auto&) { ++m_told; };
    hooks.find_server = [this](const ServerId&) { return m_server; };
    hooks.record = [this](const ServerBoot&, const PermitState& state) {
      m_state = state;
    };
    hooks.count = [this](const ServerId&, PermitEvent event) {
      ++m_counts[event];
    };
    hooks.knows_instances = [this] { return m_knows_instances; };
    return hooks;
  }

  asio::io_context m_context;
  std::optional<PermitServer> m_server = PermitServer{kStart.started_ms, {}};
  PermitState m_state;
  bool m_knows_instances = true;
  int m_asked = 0;
  int m_told = 0;
  std::map<PermitEvent, int> m_counts;
  PermitBook m_book;
};

}  // namespace

Test(permit_book, a_server_without_a_limit_needs_no_permit) {
  BookOfInstance instance(NodeId("a"));
  instance.Know({InDomain("a", "west")}, seconds(5));
  cr_expect(instance.Acquire());
  cr_expect_eq(instance.Asked(), 0);
}

Test(permit_book, an_instance_that_knows_none_grants_nothing) {
  BookOfInstance instance(NodeId("a"));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  cr_expect_not(instance.Acquire());
  cr_expect_eq(instance.Count(PermitEvent::kNoGranter), 1);
  cr_expect_gt(instance.State().withheld_until.count(),
               TimeSinceBoot().count());
}

// Load pattern: more requests than the server takes, at the granter and at
// another instance.
Test(permit_book, a_granter_grants_to_itself_and_to_others_from_one_bucket) {
  BookOfInstance granter(NodeId("a"));
  BookOfInstance asker(NodeId("b"));
  asker.respond = [&granter](const PeerFrame& frame) {
    return Result<PeerFrame>(granter.Book().Handle(frame));
  };
  for (auto* instance : {&granter, &asker}) {
    instance->Know({InDomain("a", "west")}, seconds(5));
    instance->Book().OnStatement(kStart, Stating(RequestRate(20)));
  }
  cr_expect_not(granter.Acquire(), "the bucket starts empty");
  granter.Wait(milliseconds(300));
  const int granted = asker.CountAcquired(10) + granter.CountAcquired(10);
  cr_expect_geq(granted, 3);
  cr_expect_leq(granted, 4);
  cr_expect_eq(asker.Asked(), 10);
}

Test(permit_book, a_granter_grants_only_once_others_must_know_of_it) {
  BookOfInstance instance(NodeId("a"));
  instance.Know({InDomain("a", "west")}, seconds(1));
  instance.Book().OnStatement(kStart, Stating(RequestRate(1000)));
  instance.CountAcquired(1);
  instance.Wait(milliseconds(20));
  cr_expect_eq(instance.CountAcquired(5), 0);
}

// Guards against two main granters when an instance that knew only itself
// learns of others.
Test(permit_book, a_role_that_is_void_is_taken_over_anew) {
  for (const bool voids : {false, true}) {
    BookOfInstance instance(NodeId("a"));
    instance.Know({InDomain("a", "west")}, seconds(5));
    instance.Book().OnStatement(kStart, Stating(RequestRate(1000)));
    instance.CountAcquired(1);
    // The first of the others beside which it stays the main granter.
    std::vector<PermitInstance> both;
    for (const char* other : {"b", "c", "d", "e", "f", "g"}) {
      both = {InDomain("a", "west"), InDomain(other, "west")};
      if (ChooseGranter(kServer, both) == NodeId("a")) break;
    }
    cr_assert(ChooseGranter(kServer, both) == NodeId("a"));
    instance.Know(both, Time(0), voids);
    instance.Wait(milliseconds(20));
    cr_expect_eq(instance.CountAcquired(1), voids ? 0 : 1);
  }
}

Test(permit_book, an_instance_that_accepts_no_frames_grants_its_part) {
  for (const double fraction : {1.0, 0.001}) {
    BookOfInstance instance(NodeId("a"));
    instance.Know({InDomain("a", "west")}, seconds(5), false, fraction);
    instance.Book().OnStatement(kStart, Stating(RequestRate(1000)));
    instance.CountAcquired(1);
    instance.Wait(milliseconds(20));
    cr_expect_eq(instance.CountAcquired(1), fraction < 1 ? 0 : 1);
  }
}

// Load pattern: requests go on while the granter doesn't respond.
Test(permit_book, a_granter_that_does_not_respond_is_left_for_the_substitute) {
  std::vector<PermitInstance> both{InDomain("a", "west"),
                                   InDomain("b", "west")};
  const NodeId self =
      ChooseGranter(kServer, both) == NodeId("a") ? NodeId("b") : NodeId("a");
  BookOfInstance instance(self);
  instance.Know(both, seconds(5));
  instance.Book().OnStatement(kStart, Stating(RequestRate(1000)));
  instance.CountAcquired(1);
  instance.Wait(milliseconds(20));
  cr_expect(instance.Acquire());
  instance.CountAcquired(20);
  cr_expect_eq(instance.Asked(), 1, "it is left for a second");
}

Test(permit_book, the_begin_and_the_end_of_a_limit_are_told) {
  BookOfInstance instance(NodeId("a"));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5), seconds(3)));
  instance.Book().OnStatement(kStart, Stating(RequestRate(6), seconds(2)));
  cr_expect_eq(instance.Told(), 1);
  cr_expect_eq(instance.Count(PermitEvent::kLimitBegun), 1);
  cr_expect(instance.State().limit == RequestRate(6));
  instance.Book().OnStatement(kStart, Stating({}, seconds(1)));
  cr_expect_eq(instance.Told(), 2);
  cr_expect_not(instance.State().limit.has_value());
}

Test(permit_book, only_the_granter_passes_on_what_it_is_told) {
  PeerFrame notice;
  notice.kind = wire::Kind::ServerLimits;
  notice.limits.push_back(
      PackLimit(kStart, Stating(RequestRate(5)), TimeSinceBoot()));
  for (const char* node : {"a", "b"}) {
    BookOfInstance instance{NodeId(node)};
    instance.Know({InDomain("a", "west")}, seconds(5));
    instance.Book().Handle(notice);
    cr_expect(instance.State().limit == RequestRate(5));
    cr_expect_eq(instance.Told(), node == std::string("a") ? 1 : 0);
  }
}

// Guards against full load when a registration lapses for a moment.
Test(permit_book, a_server_that_is_listed_again_has_what_is_known_of_it) {
  BookOfInstance instance(NodeId("a"));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  instance.List(std::nullopt);
  instance.ForgetState();
  instance.List(PermitServer{kStart.started_ms, {}});
  cr_expect(instance.State().limit == RequestRate(5));
}

// Guards against a limit that is dropped since the server's registration was
// missing when its answer was read.
Test(permit_book, a_limit_that_is_named_while_unlisted_binds_later) {
  BookOfInstance instance(NodeId("a"));
  instance.List(std::nullopt);
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  instance.Book().OnCold(kStart, TimeSinceBoot() + seconds(60));
  instance.List(std::nullopt);
  instance.List(PermitServer{kStart.started_ms, RequestRate(4)});
  cr_expect(instance.State().limit == RequestRate(5));
  cr_expect_gt(instance.State().cold_until.count(), TimeSinceBoot().count());
  cr_expect_not(instance.Acquire());
}

Test(permit_book, a_former_process_that_is_listed_gets_no_limit_of_the_later) {
  BookOfInstance instance(NodeId("a"));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  instance.ForgetState();
  instance.List(PermitServer{kStart.started_ms - 1, {}});
  cr_expect_not(instance.State().limit.has_value());
  instance.List(PermitServer{kStart.started_ms, {}});
  cr_expect(instance.State().limit == RequestRate(5));
}

Test(permit_book, a_new_process_of_a_server_has_no_limit) {
  BookOfInstance instance(NodeId("a"));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  instance.List(PermitServer{kStart.started_ms + 1, {}});
  cr_expect(instance.Acquire({kServer, kStart.started_ms + 1}));
}

Test(permit_book, a_cold_server_gets_the_lower_of_its_rate_and_its_limit) {
  BookOfInstance instance(NodeId("a"));
  instance.List(PermitServer{kStart.started_ms, RequestRate(4)});
  const auto until = TimeSinceBoot() + seconds(60);
  instance.Book().OnCold(kStart, until);
  instance.Book().OnCold(kStart, until - seconds(9));
  cr_expect(instance.State().cold_until == until, "the latest time counts");
  cr_expect(instance.State().cold_rate == RequestRate(4));
  cr_expect_eq(instance.Count(PermitEvent::kColdBegun), 1);
  cr_expect_not(instance.Acquire());
}

// Guards against a request to a process that has just started, and is cold.
Test(permit_book, a_request_whose_server_restarts_meanwhile_gets_no_permit) {
  std::vector<PermitInstance> other{InDomain("b", "east")};
  BookOfInstance instance(NodeId("a"));
  instance.Know(other, seconds(5));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  instance.respond = [&instance](const PeerFrame&) {
    instance.List(PermitServer{kStart.started_ms + 1, {}});
    return Result<PeerFrame>(Fail(ResultCode::kPeerUnreachable));
  };
  cr_expect_not(instance.Acquire());
}

// Guards against full load on cold servers of which another instance told
// before the configuration was read.
Test(permit_book, the_rate_of_a_cold_server_may_become_known_later) {
  BookOfInstance instance(NodeId("a"));
  instance.Book().OnStatement(kStart, Stating(RequestRate(5)));
  instance.List(PermitServer{kStart.started_ms, RequestRate(4)});
  instance.Book().OnCold(kStart, TimeSinceBoot() + seconds(60));
  cr_expect(instance.State().cold_rate == RequestRate(4));
}

// Guards against an asker that takes a server for warm before its granter does.
Test(permit_book, an_asker_learns_for_how_much_longer_a_server_is_cold) {
  BookOfInstance granter(NodeId("a"));
  BookOfInstance asker(NodeId("b"));
  asker.respond = [&granter](const PeerFrame& frame) {
    return Result<PeerFrame>(granter.Book().Handle(frame));
  };
  for (auto* instance : {&granter, &asker}) {
    instance->Know({InDomain("a", "west")}, seconds(5));
    instance->List(PermitServer{kStart.started_ms, RequestRate(4)});
  }
  const auto until = TimeSinceBoot() + seconds(60);
  granter.Book().OnCold(kStart, until);
  asker.Book().OnCold(kStart, until - seconds(30));
  asker.Acquire();
  cr_expect_geq(asker.State().cold_until.count(), until.count());
}

// Guards against full load from an instance that starts after the evacuation of
// a domain, and reads registrations from before its servers restarted.
Test(permit_book, new_instances_are_told_of_cold_servers) {
  BookOfInstance instance(NodeId("a"));
  instance.Know({InDomain("a", "west")}, seconds(5));
  instance.List(PermitServer{kStart.started_ms, RequestRate(4)});
  cr_expect_not(instance.Book().BuildNoticeOfGranted().has_value());
  instance.Book().OnCold(kStart, TimeSinceBoot() + seconds(60));
  const auto notice = instance.Book().BuildNoticeOfGranted();
  cr_assert(notice.has_value());
  BookOfInstance started(NodeId("b"));
  started.List(PermitServer{kStart.started_ms, RequestRate(4)});
  started.Book().Handle(*notice);
  cr_expect_eq(started.Count(PermitEvent::kColdBegun), 1);
}

// Guards against two main granters of a cold server: one that has lost the
// store, and the one that the others have chosen since.
Test(permit_book, a_granter_that_has_lost_the_others_grants_no_cold_server) {
  BookOfInstance instance(NodeId("a"));
  instance.Know({InDomain("a", "west")}, seconds(5));
  instance.List(PermitServer{kStart.started_ms, RequestRate(8)});
  instance.Book().OnCold(kStart, TimeSinceBoot() + seconds(3));
  instance.SetKnowsInstances(false);
  cr_expect_eq(instance.CountAcquired(5), 0);
  instance.SetKnowsInstances(true);
  instance.Wait(milliseconds(1100));  // until it asks itself again
  instance.Acquire();                 // its bucket starts empty
  instance.Wait(milliseconds(300));
  cr_expect_gt(instance.CountAcquired(5), 0);
}
