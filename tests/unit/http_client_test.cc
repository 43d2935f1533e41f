#include "transport/http_client.h"

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
