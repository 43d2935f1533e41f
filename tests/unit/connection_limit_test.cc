#include "transport/connection_limit.h"

#include <rapidcheck.h>

#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr Milliseconds kNoWait(0);

/// A listener whose connections wait for input until they are cancelled.
class Listener {
 public:
  explicit Listener(std::size_t max)
      : m_acceptor(std::make_shared<tcp::acceptor>(
            m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))),
        m_limit(std::make_shared<ConnectionLimit>("test", max)) {
    m_limit->SetObserver([this](LimitAction action) { ++m_actions[action]; });
    ConnectionHandler serve = [this](tcp::socket socket,
                                     ConnectionLimit::Slot slot) {
      asio::co_spawn(m_context, Wait(std::move(socket), std::move(slot)),
                     asio::detached);
    };
    asio::co_spawn(m_context,
                   AcceptConnections(m_acceptor, m_limit, m_idle, serve),
                   asio::detached);
  }

  tcp::socket Connect() {
    tcp::socket socket(m_context);
    socket.connect(m_acceptor->local_endpoint());
    return socket;
  }
  void RunFor(Milliseconds duration) {
    m_context.restart();
    m_context.run_for(duration);
  }
  ConnectionLimit& Limit() { return *m_limit; }
  int Actions(LimitAction action) { return m_actions[action]; }
  int Served() const { return m_served; }
  bool is_busy = false;  ///< connections do not count as idle

 private:
  Awaitable<void> Wait(tcp::socket socket, ConnectionLimit::Slot /*slot*/) {
    ++m_served;
    beast::tcp_stream stream(std::move(socket));
    if (!is_busy) m_idle->Add(stream);
    co_await stream.socket().async_wait(tcp::socket::wait_read, kAsTuple);
    m_idle->Remove(stream);
  }

  asio::io_context m_context;
  std::shared_ptr<tcp::acceptor> m_acceptor;
  std::shared_ptr<ConnectionLimit> m_limit;
  std::shared_ptr<ConnectionSet> m_idle = std::make_shared<ConnectionSet>();
  std::map<LimitAction, int> m_actions;
  int m_served = 0;
};

bool IsOpen(tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  return received < 0;
}

}  // namespace

Test(connection_limit, shares_leave_descriptors_for_the_store_and_files) {
  cr_assert(rc::check([] {
    const auto descriptors = *rc::gen::inRange<std::size_t>(256, 1 << 20);
    const ConnectionShares shares = DivideDescriptors(descriptors);
    const std::size_t rest =
        descriptors - shares.callers - shares.servers - shares.peers;
    RC_ASSERT(rest >= descriptors / 8);
    RC_ASSERT(shares.peers > 0U);
    RC_ASSERT(shares.servers >= shares.callers);
  }));
}

// Guards against closing a connection that was used just now while others have
// been idle for longer.
Test(connection_limit, the_longest_idle_connection_is_closed_above_the_limit) {
  Listener listener(2);
  tcp::socket first = listener.Connect();
  listener.RunFor(Milliseconds(20));
  tcp::socket second = listener.Connect();
  listener.RunFor(Milliseconds(400));
  tcp::socket third = listener.Connect();
  listener.RunFor(Milliseconds(100));
  cr_expect_not(IsOpen(first));
  cr_expect(IsOpen(second));
  cr_expect(IsOpen(third));
  cr_expect_eq(listener.Limit().OpenCount(), 2);
  cr_expect_gt(listener.Actions(LimitAction::kIdleClosed), 0);
}

Test(connection_limit, accepting_resumes_when_a_busy_connection_ends) {
  Listener listener(1);
  listener.is_busy = true;
  tcp::socket first = listener.Connect();
  tcp::socket second = listener.Connect();
  tcp::socket third = listener.Connect();
  listener.RunFor(Milliseconds(100));
  cr_expect_eq(listener.Served(), 2);  // the second one is above the limit
  cr_expect_gt(listener.Actions(LimitAction::kAcceptPaused), 0);
  first.close();
  listener.RunFor(Milliseconds(100));
  cr_expect_eq(listener.Served(), 3);
}

// Guards against resetting connections that callers take for accepted.
Test(connection_limit, a_closed_listener_serves_what_was_queued) {
  Listener listener(kUnlimitedConnections);
  listener.RunFor(Milliseconds(10));
  std::vector<tcp::socket> callers;
  callers.reserve(20);
  for (int i = 0; i < 20; ++i) callers.push_back(listener.Connect());
  listener.Limit().CloseListener();
  listener.RunFor(Milliseconds(50));
  cr_expect_eq(listener.Served(), 20);
  for (auto& caller : callers) cr_expect(IsOpen(caller));
}

Test(connection_set, the_longest_wait_is_cancelled_first) {
  asio::io_context context;
  std::deque<beast::tcp_stream> streams;
  ConnectionSet waiting;
  for (int i = 0; i < 3; ++i)
    waiting.Add(streams.emplace_back(context.get_executor()));
  waiting.Add(streams[0]);  // waits anew
  waiting.Remove(streams[1]);
  waiting.Remove(streams[1]);
  cr_expect_eq(waiting.Count(), 2);
  cr_expect(waiting.CancelLongest(kNoWait));
  cr_expect_not(waiting.CancelLongest(Milliseconds(60000)));
}
