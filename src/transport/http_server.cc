#include "transport/http_server.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kAcceptRetry(20);

class Exchange : public HttpExchange {
 public:
  Exchange(beast::tcp_stream& stream, HttpRequest request, Milliseconds write)
      : m_stream(stream), m_request(std::move(request)), m_write(write) {}

  HttpRequest& Request() override { return m_request; }

  Awaitable<bool> Respond(HttpResponse response) override {
    m_answered = true;
    response.version(11);
    response.keep_alive(KeepAlive());
    response.prepare_payload();
    m_stream.expires_after(m_write);
    auto [error, size] =
        co_await http::async_write(m_stream, response, kAsTuple);
    m_intact = m_intact && !error;
    co_return !error;
  }

  Awaitable<bool> BeginStream(HttpResponse header) override {
    m_answered = true;
    http::response<http::empty_body> head;
    head.base() = header.base();
    head.version(11);
    head.chunked(true);
    head.keep_alive(KeepAlive());
    http::response_serializer<http::empty_body> serializer(head);
    m_stream.expires_after(m_write);
    auto [error, size] =
        co_await http::async_write_header(m_stream, serializer, kAsTuple);
    m_intact = m_intact && !error;
    co_return !error;
  }

  Awaitable<bool> WriteChunk(std::string_view piece) override {
    m_stream.expires_after(m_write);
    const auto chunk =
        http::make_chunk(asio::buffer(piece.data(), piece.size()));
    auto [error, size] = co_await asio::async_write(m_stream, chunk, kAsTuple);
    m_intact = m_intact && !error;
    co_return !error;
  }

  Awaitable<bool> EndStream() override {
    m_stream.expires_after(m_write);
    auto [error, size] =
        co_await asio::async_write(m_stream, http::make_chunk_last(), kAsTuple);
    m_intact = m_intact && !error;
    co_return !error;
  }

  void Abort() override {
    m_answered = true;
    m_intact = false;
  }

  bool Answered() const override { return m_answered; }
  bool Intact() const { return m_intact; }
  void CloseAfter() { m_close = true; }
  bool KeepAlive() const { return m_request.keep_alive() && !m_close; }

 private:
  beast::tcp_stream& m_stream;
  HttpRequest m_request;
  Milliseconds m_write;
  bool m_answered = false;
  bool m_intact = true;
  bool m_close = false;
};

ResultCode ReadFailureCode(error_code error) {
  if (error == http::error::body_limit) return ResultCode::kBodyTooLarge;
  if (error == http::error::header_limit) return ResultCode::kHeaderTooLarge;
  return ResultCode::kMalformedRequest;
}

bool PeerLeft(error_code error) {
  return error == http::error::end_of_stream ||
         error == beast::error::timeout ||
         error.category() == asio::error::get_system_category() ||
         error.category() == asio::error::get_misc_category();
}

Awaitable<void> RefuseUnreadable(beast::tcp_stream& stream, error_code error,
                                 const HttpServerLimits& limits,
                                 const HttpServerHooks& hooks) {
  if (PeerLeft(error) || !hooks.refuse) co_return;
  HttpRequest unread;
  unread.version(11);
  unread.keep_alive(false);
  Exchange exchange(stream, std::move(unread), limits.write);
  co_await exchange.Respond(hooks.refuse(ReadFailureCode(error)));
}

Awaitable<void> ServeConnection(beast::tcp_stream stream,
                                HttpServerLimits limits,
                                HttpServerHooks hooks) {
  beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header.Count()));
    parser.body_limit(limits.body.Count());
    stream.expires_after(limits.idle);
    auto [error, size] =
        co_await http::async_read(stream, buffer, parser, kAsTuple);
    if (error) {
      co_await RefuseUnreadable(stream, error, limits, hooks);
      break;
    }
    Exchange exchange(stream, parser.release(), limits.write);
    if (hooks.closing && hooks.closing()) exchange.CloseAfter();
    co_await hooks.handle(exchange);
    if (!exchange.Intact() || !exchange.KeepAlive()) break;
  }
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace

Awaitable<void> ServeHttp(std::shared_ptr<tcp::acceptor> acceptor,
                          HttpServerLimits limits, HttpServerHooks hooks) {
  const auto executor = co_await asio::this_coro::executor;
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      co_await SleepFor(kAcceptRetry);
      continue;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(
        executor,
        ServeConnection(beast::tcp_stream(std::move(socket)), limits, hooks),
        asio::detached);
  }
}

}  // namespace cowslipknot
