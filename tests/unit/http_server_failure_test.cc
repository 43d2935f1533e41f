#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "unit_test.h"

/// Exceptions while a connection is accepted or read.
using namespace cowslipknot;

namespace {

constexpr Milliseconds kTestTimeout(2000);
/// More than any machine has, and less than a string may hold.
constexpr std::uint64_t kUnobtainableBytes = 1ULL << 50;

std::shared_ptr<tcp::acceptor> ListenOnLoopback(asio::io_context& context) {
  const tcp::endpoint address(asio::ip::address_v4::loopback(), 0);
  return std::make_shared<tcp::acceptor>(context, address);
}

/// Sends bytes on a new connection, and reads what comes back until it ends.
Awaitable<void> Exchange(tcp::endpoint server, std::string request,
                         std::string& answer) {
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(kTestTimeout);
  auto [failed] = co_await stream.async_connect(server, kAsTuple);
  if (failed) co_return;
  co_await asio::async_write(stream, asio::buffer(request), kAsTuple);
  co_await asio::async_read(stream, asio::dynamic_buffer(answer), kAsTuple);
}

Awaitable<void> Answer(HttpExchange& exchange) {
  HttpResponse response(http::status::ok, 11);
  co_await exchange.Respond(std::move(response));
}

/// A handler that can't be copied at times, as if there were no memory.
struct FragileHandler {
  explicit FragileHandler(std::shared_ptr<bool> may_copy)
      : m_may_copy(std::move(may_copy)) {}
  FragileHandler(const FragileHandler& other) : m_may_copy(other.m_may_copy) {
    if (!*m_may_copy) throw std::bad_alloc();
  }
  FragileHandler& operator=(const FragileHandler&) = delete;
  Awaitable<void> operator()(HttpExchange& exchange) const {
    return Answer(exchange);
  }

 private:
  std::shared_ptr<bool> m_may_copy;
};

const char kRequest[] =
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

}  // namespace

// Guards against a freed connection that stays in the set that a stop cancels.
Test(http_server_failure, forgets_a_connection_whose_read_fails) {
  asio::io_context context{1};
  const auto acceptor = ListenOnLoopback(context);
  HttpServerLimits limits;
  limits.max_body_size = ByteCount(kUnobtainableBytes);
  HttpServerHooks hooks;
  hooks.handle = Answer;
  hooks.reading = std::make_shared<ConnectionSet>();
  hooks.requests_in_progress = std::make_shared<std::size_t>(0);
  asio::co_spawn(context, ServeHttp(acceptor, limits, hooks), asio::detached);
  const std::string request = "POST / HTTP/1.1\r\nContent-Length: " +
                              std::to_string(kUnobtainableBytes - 1) +
                              "\r\n\r\nx";
  std::string answer;
  asio::co_spawn(context, Exchange(acceptor->local_endpoint(), request, answer),
                 [&](const std::exception_ptr&) { context.stop(); });
  RunEventLoop(context, "thread");
  cr_assert_eq(hooks.reading->Count(), 0);
  cr_assert_eq(*hooks.requests_in_progress, 0);
}

// Guards against a listener that accepts no more after one failure.
Test(http_server_failure, accepts_further_connections_after_one_that_fails) {
  asio::io_context context{1};
  const auto acceptor = ListenOnLoopback(context);
  const auto may_copy = std::make_shared<bool>(true);
  HttpServerHooks hooks;
  hooks.handle = FragileHandler(may_copy);
  asio::co_spawn(context, ServeHttp(acceptor, HttpServerLimits(), hooks),
                 asio::detached);
  context.poll();  // the listener has started
  std::string first;
  std::string second;
  *may_copy = false;
  const tcp::endpoint server = acceptor->local_endpoint();
  asio::co_spawn(context, Exchange(server, kRequest, first),
                 [&](const std::exception_ptr&) {
                   *may_copy = true;
                   asio::co_spawn(
                       context, Exchange(server, kRequest, second),
                       [&](const std::exception_ptr&) { context.stop(); });
                 });
  RunEventLoop(context, "thread");
  cr_assert(first.empty());
  cr_assert(second.starts_with("HTTP/1.1 200"), "%s", second.c_str());
}

// Guards against a connection that is closed since an earlier one, whose place
// in the reactor it got, had an event pending.
Test(http_server_failure, keeps_a_connection_whose_wait_ends_without_input) {
  asio::io_context context{1};
  const auto acceptor = ListenOnLoopback(context);
  HttpServerHooks hooks;
  hooks.handle = Answer;
  asio::co_spawn(context, ServeHttp(acceptor, HttpServerLimits(), hooks),
                 asio::detached);
  context.poll();  // the listener has started
  asio::io_context others;
  tcp::socket caller(others);
  caller.connect(acceptor->local_endpoint());
  asio::local::stream_protocol::socket sender(others);
  asio::local::stream_protocol::socket closed(context);
  asio::local::connect_pair(closed, sender);
  asio::write(sender, asio::buffer("x", 1));
  // Runs when both events are pending, and before them.
  asio::post(context, [&] { closed.close(); });
  context.poll();
  error_code ignored;
  asio::write(caller, asio::buffer(kRequest, sizeof(kRequest) - 1), ignored);
  context.run_for(std::chrono::milliseconds(500));
  std::string answer;
  asio::read(caller, asio::dynamic_buffer(answer), ignored);
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}
