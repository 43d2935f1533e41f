#include "transport/http_client.h"

#include <sys/resource.h>

#include "transport/endpoint.h"
#include "unit_test.h"

/// Calls that are given up, against servers written with plain sockets.
using namespace cowslipknot;

namespace {

constexpr ByteCount kMaxResponse(1 << 20);
const char kLoopback[] = "127.0.0.1";

tcp::acceptor ListenOnLoopback(asio::io_context& context, int backlog) {
  const tcp::endpoint address(asio::ip::make_address(kLoopback), 0);
  tcp::acceptor acceptor(context, address.protocol());
  acceptor.bind(address);
  acceptor.listen(backlog);
  return acceptor;
}

Endpoint AddressOf(const tcp::acceptor& acceptor) {
  return {kLoopback, acceptor.local_endpoint().port()};
}

HttpRequest MakeRequest() { return {http::verb::post, "/usage", 11}; }

/// How a server that reads and never answers sees a connection end.
struct ConnectionEnd {
  std::string received;
  error_code error;
};

Awaitable<void> ReadToTheEnd(tcp::acceptor& acceptor, ConnectionEnd& end) {
  tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::array<char, 4096> bytes;
  while (!end.error) {
    auto [error, size] =
        co_await socket.async_read_some(asio::buffer(bytes), kAsTuple);
    end.received.append(bytes.data(), size);
    end.error = error;
  }
}

/// A call, and the time that it took.
struct CallEnd {
  std::optional<Error> error;
  Milliseconds took{0};
  CallProgress progress;
};

Awaitable<void> CallOnce(std::shared_ptr<HttpClient> client, Endpoint server,
                         CallOptions options, CallEnd& end) {
  const auto started = std::chrono::steady_clock::now();
  const auto response = co_await client->Call(std::move(server), MakeRequest(),
                                              std::move(options), end.progress);
  if (!response) end.error = response.error();
  end.took = std::chrono::duration_cast<Milliseconds>(
      std::chrono::steady_clock::now() - started);
}

}  // namespace

// Guards against a call that was given up and that the operating system still
// delivers, perhaps much later.
Test(http_client, a_call_that_times_out_resets_its_connection) {
  asio::io_context context;
  auto acceptor = ListenOnLoopback(context, 1);
  ConnectionEnd server;
  CallEnd call;
  asio::co_spawn(context, ReadToTheEnd(acceptor, server), asio::detached);
  asio::co_spawn(
      context,
      CallOnce(HttpClient::Create(context.get_executor(), kMaxResponse),
               AddressOf(acceptor),
               WithTimeout(Milliseconds(50), Reuse::kAllowed), call),
      asio::detached);
  context.run();
  cr_assert(call.error.has_value());
  cr_expect_eq(call.error->code, ResultCode::kBackendTimeout);
  cr_expect(server.received.starts_with("POST /usage"));
  cr_expect(server.error == asio::error::connection_reset, "%s",
            server.error.message().c_str());
}

Test(http_client, an_aborted_call_resets_its_connection) {
  asio::io_context context;
  auto acceptor = ListenOnLoopback(context, 1);
  ConnectionEnd server;
  CallEnd call;
  asio::co_spawn(context, ReadToTheEnd(acceptor, server), asio::detached);
  asio::co_spawn(
      context,
      CallOnce(HttpClient::Create(context.get_executor(), kMaxResponse),
               AddressOf(acceptor),
               WithTimeout(Milliseconds(5000), Reuse::kAllowed), call),
      asio::detached);
  asio::steady_timer timer(context, Milliseconds(50));
  timer.async_wait([&call](error_code) { call.progress.abort(); });
  context.run();
  cr_expect(call.error.has_value());
  cr_expect_lt(call.took.count(), 1000);
  cr_expect(server.error == asio::error::connection_reset);
}

// Guards against a call that is sent, and may arrive, later than its caller
// reckons with, because connecting and answering have a timeout each.
Test(http_client, the_time_to_connect_counts_towards_the_timeout) {
  constexpr Milliseconds kTimeout(1600);
  constexpr Milliseconds kMargin(300);
  asio::io_context context;
  // The queue of new connections is full until the first retransmission of the
  // connecting packet, after a second.
  auto acceptor = ListenOnLoopback(context, 0);
  tcp::socket occupant(context);
  occupant.connect(acceptor.local_endpoint());
  std::vector<tcp::socket> accepted;
  asio::steady_timer timer(context, Milliseconds(500));
  timer.async_wait([&](error_code) { accepted.push_back(acceptor.accept()); });
  CallEnd call;
  asio::co_spawn(
      context,
      CallOnce(HttpClient::Create(context.get_executor(), kMaxResponse),
               AddressOf(acceptor), WithTimeout(kTimeout, Reuse::kAllowed),
               call),
      asio::detached);
  context.run();
  cr_expect(call.error.has_value());
  cr_expect(call.progress.first_byte_sent);
  cr_expect_lt(call.took.count(), (kTimeout + kMargin).count());
}

// Guards against a call that needs a permission and is sent after the
// permission ended while the connection was being opened.
Test(http_client, a_call_that_may_no_longer_be_sent_is_not_sent) {
  asio::io_context context;
  auto acceptor = ListenOnLoopback(context, 1);
  ConnectionEnd server;
  CallEnd call;
  CallOptions options = WithTimeout(Milliseconds(500), Reuse::kAllowed);
  options.may_send = [] { return false; };
  asio::co_spawn(context, ReadToTheEnd(acceptor, server), asio::detached);
  asio::co_spawn(
      context,
      CallOnce(HttpClient::Create(context.get_executor(), kMaxResponse),
               AddressOf(acceptor), options, call),
      asio::detached);
  context.run();
  cr_assert(call.error.has_value());
  cr_expect_eq(call.error->execution, Execution::kNotRun);
  cr_expect(server.received.empty());
}

namespace {

/// Answers each request on each connection until the callers close.
Awaitable<void> AnswerAll(tcp::acceptor& acceptor) {
  while (true) {
    auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
    if (error) co_return;
    auto answer = [](tcp::socket connection) -> Awaitable<void> {
      const std::string response =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      std::array<char, 4096> bytes;
      while (true) {
        auto [failed, size] =
            co_await connection.async_read_some(asio::buffer(bytes), kAsTuple);
        if (failed) co_return;
        co_await asio::async_write(connection, asio::buffer(response),
                                   kAsTuple);
      }
    };
    asio::co_spawn(acceptor.get_executor(), answer(std::move(socket)),
                   asio::detached);
  }
}

CallEnd CallAndRun(asio::io_context& context,
                   const std::shared_ptr<HttpClient>& client,
                   const Endpoint& server) {
  CallEnd call;
  context.restart();
  asio::co_spawn(
      context,
      CallOnce(client, server, WithTimeout(Milliseconds(500), Reuse::kAllowed),
               call),
      asio::detached);
  context.run_for(Milliseconds(100));
  return call;
}

}  // namespace

// Guards against idle connections to one server that keep others from being
// reached.
Test(http_client, idle_connections_are_closed_before_a_call_is_refused) {
  asio::io_context context;
  auto first = ListenOnLoopback(context, 8);
  auto second = ListenOnLoopback(context, 8);
  asio::co_spawn(context, AnswerAll(first), asio::detached);
  asio::co_spawn(context, AnswerAll(second), asio::detached);
  const auto client =
      HttpClient::Create(context.get_executor(), kMaxResponse, 1);
  for (const auto* server : {&first, &second, &first}) {
    const CallEnd call = CallAndRun(context, client, AddressOf(*server));
    cr_expect_not(call.error.has_value());
    cr_expect_eq(client->ConnectionCount(), 1);
  }
}

// Guards against blaming a server for a descriptor that this process lacks.
Test(http_client, a_lack_of_descriptors_is_not_a_failure_of_the_server) {
  asio::io_context context;
  auto acceptor = ListenOnLoopback(context, 8);
  const auto client =
      HttpClient::Create(context.get_executor(), kMaxResponse, 0);
  const CallEnd bounded = CallAndRun(context, client, AddressOf(acceptor));
  cr_assert(bounded.error.has_value());
  cr_expect_eq(bounded.error->code, ResultCode::kDescriptorsExhausted);
  cr_expect_eq(bounded.error->execution, Execution::kNotRun);

  const auto unbounded =
      HttpClient::Create(context.get_executor(), kMaxResponse);
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const rlim_t before = std::exchange(limit.rlim_cur, 3);
  ::setrlimit(RLIMIT_NOFILE, &limit);
  const CallEnd call = CallAndRun(context, unbounded, AddressOf(acceptor));
  limit.rlim_cur = before;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  cr_assert(call.error.has_value());
  cr_expect_eq(call.error->code, ResultCode::kDescriptorsExhausted);
  cr_expect_eq(unbounded->ConnectionCount(), 0);
}

namespace {

Awaitable<void> AnswerOnce(tcp::acceptor& acceptor, std::string response) {
  tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::array<char, 4096> bytes;
  co_await socket.async_read_some(asio::buffer(bytes), kAsTuple);
  co_await asio::async_write(socket, asio::buffer(response), kAsTuple);
}

}  // namespace

// Guards against a status that is none, which a caller would get as an answer.
Test(http_client, a_status_outside_the_protocol_is_no_answer) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    asio::io_context context;
    auto acceptor = ListenOnLoopback(context, 1);
    asio::co_spawn(
        context,
        AnswerOnce(acceptor,
                   "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n"),
        asio::detached);
    const auto client =
        HttpClient::Create(context.get_executor(), kMaxResponse);
    const CallEnd call = CallAndRun(context, client, AddressOf(acceptor));
    cr_assert(call.error.has_value(), "%s", status.c_str());
    cr_expect_eq(call.error->code, ResultCode::kBackendMalformed);
    cr_expect_eq(call.error->execution, Execution::kUnknown);
  }
}
