#include "transport/http_server.h"

#include <sys/socket.h>

#include <exception>
#include <optional>

#include "cowslipknot/events.h"
#include "transport/event_loop.h"
#include "transport/graceful_close.h"
#include "transport/request_reader.h"

namespace cowslipknot {
namespace {

using StreamPtr = std::shared_ptr<beast::tcp_stream>;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Whether the peer has closed its connection. Reads nothing.
bool PeerClosed(tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  return received == 0 ||
         (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Waits until the peer sends data or closes its connection. `watching` becomes
/// false when the exchange ends.
Awaitable<void> WatchForDisconnect(StreamPtr stream,
                                   std::shared_ptr<bool> watching,
                                   std::function<void()> on_disconnect) {
  auto [error] =
      co_await stream->socket().async_wait(tcp::socket::wait_read, kAsTuple);
  if (error || !*watching) co_return;
  if (PeerClosed(stream->socket())) on_disconnect();
}

class Exchange : public HttpExchange {
 public:
  /// @param close_after_response  asked when a response begins; may be empty
  Exchange(StreamPtr stream, HttpRequest request, Milliseconds write,
           std::function<bool()> close_after_response)
      : m_connection(std::move(stream)),
        m_stream(*m_connection),
        m_request(std::move(request)),
        m_write_timeout(write),
        m_close_after_response(std::move(close_after_response)),
        m_keep_alive(m_request.keep_alive()) {}
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() override { StopWatching(); }

  void OnPeerDisconnect(std::function<void()> on_disconnect) override {
    m_watching = std::make_shared<bool>(true);
    m_stream.expires_never();
    Spawn(
        m_stream.get_executor(), "watch caller",
        WatchForDisconnect(m_connection, m_watching, std::move(on_disconnect)));
  }

  void StopWatching() {
    if (!m_watching) return;
    *m_watching = false;
    m_watching.reset();
    error_code ignored;
    m_stream.socket().cancel(ignored);
  }

  HttpRequest& Request() override { return m_request; }

  Awaitable<bool> Respond(HttpResponse response) override {
    if (m_answered) {
      Abort();
      co_return false;
    }
    m_answered = true;
    response.version(11);
    response.keep_alive(DecideKeepAlive());
    response.prepare_payload();
    m_stream.expires_after(m_write_timeout);
    auto [error, size] =
        co_await http::async_write(m_stream, response, kAsTuple);
    m_usable = m_usable && !error;
    co_return !error;
  }

  Awaitable<bool> BeginStream(HttpResponse header) override {
    m_answered = true;
    http::response<http::empty_body> header_only;
    header_only.base() = header.base();
    header_only.version(11);
    header_only.chunked(true);
    header_only.keep_alive(DecideKeepAlive());
    http::response_serializer<http::empty_body> serializer(header_only);
    m_stream.expires_after(m_write_timeout);
    auto [error, size] =
        co_await http::async_write_header(m_stream, serializer, kAsTuple);
    m_usable = m_usable && !error;
    co_return !error;
  }

  Awaitable<bool> WriteChunk(std::string_view piece) override {
    m_stream.expires_after(m_write_timeout);
    const auto chunk =
        http::make_chunk(asio::buffer(piece.data(), piece.size()));
    auto [error, size] = co_await asio::async_write(m_stream, chunk, kAsTuple);
    m_usable = m_usable && !error;
    co_return !error;
  }

  Awaitable<bool> EndStream() override {
    m_stream.expires_after(m_write_timeout);
    auto [error, size] =
        co_await asio::async_write(m_stream, http::make_chunk_last(), kAsTuple);
    m_usable = m_usable && !error;
    co_return !error;
  }

  void Abort() override {
    m_answered = true;
    m_usable = false;
  }

  bool Answered() const override { return m_answered; }
  bool ConnectionUsable() const { return m_usable; }
  /// Whether the response announced that the connection stays open.
  bool KeepAlive() const { return m_keep_alive; }

 private:
  bool DecideKeepAlive() {
    const bool closes = m_close_after_response && m_close_after_response();
    m_keep_alive = m_request.keep_alive() && !closes;
    return m_keep_alive;
  }

  StreamPtr m_connection;
  beast::tcp_stream& m_stream;
  std::shared_ptr<bool> m_watching;
  HttpRequest m_request;
  Milliseconds m_write_timeout;
  bool m_answered = false;
  bool m_usable = true;
  std::function<bool()> m_close_after_response;
  bool m_keep_alive;
};

ResultCode ReadFailureCode(error_code error) {
  if (error == asio::error::operation_aborted) return ResultCode::kDraining;
  if (error == http::error::body_limit) return ResultCode::kBodyTooLarge;
  if (error == http::error::header_limit) return ResultCode::kHeaderTooLarge;
  if (error == asio::error::no_memory) return ResultCode::kMemoryExhausted;
  return ResultCode::kMalformedRequest;
}

bool IsDisconnect(error_code error) {
  return error == http::error::end_of_stream ||
         error == beast::error::timeout ||
         error.category() == asio::error::get_system_category() ||
         error.category() == asio::error::get_misc_category();
}

Awaitable<void> RejectUnreadable(StreamPtr stream, error_code error,
                                 const HttpServerLimits& limits,
                                 const HttpServerHooks& hooks) {
  LogEvent(Event::kRequestUnreadable, {{"detail", error.message()}});
  const bool is_own_decision = error == asio::error::operation_aborted ||
                               error == asio::error::no_memory;
  if (IsDisconnect(error) && !is_own_decision) co_return;
  if (!hooks.make_error_response) co_return;
  HttpRequest placeholder;
  placeholder.version(11);
  placeholder.keep_alive(false);
  Exchange exchange(std::move(stream), std::move(placeholder),
                    limits.write_timeout, nullptr);
  const Error failure{ReadFailureCode(error)};
  HttpResponse response = hooks.make_error_response(failure);
  co_await exchange.Respond(std::move(response));
}

enum class Arrival : std::uint8_t { kNothing, kBytes, kEnd };

/// Reads what has arrived on a connection without waiting.
Arrival ReadArrived(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
  error_code error;
  stream.socket().non_blocking(true, error);
  buffer.commit(
      stream.socket().read_some(buffer.prepare(kRequestReadBytes), error));
  if (buffer.size() > 0) return Arrival::kBytes;
  return error == asio::error::would_block ? Arrival::kNothing : Arrival::kEnd;
}

/// Waits until input arrives, the peer closes, the wait is cancelled or a time
/// is reached. It may also end early: the reactor reuses the entry of a closed
/// descriptor although one of its events is still queued.
/// @return false if the wait was cancelled or the time is reached
Awaitable<bool> WaitForInput(StreamPtr stream, SteadyTime deadline) {
  asio::steady_timer timer(stream->get_executor(), deadline);
  const auto waiting = std::make_shared<bool>(true);
  timer.async_wait([stream, waiting](error_code error) {
    if (!error && *waiting) stream->cancel();
  });
  auto [error] =
      co_await stream->socket().async_wait(tcp::socket::wait_read, kAsTuple);
  *waiting = false;
  co_return !error;
}

/// Waits for the first byte of a request. An idle connection closes when both
/// the idle timeout that was in force when the wait began and the present one
/// have passed.
/// @return false if none arrives
Awaitable<bool> WaitForRequest(StreamPtr stream, beast::flat_buffer& buffer,
                               HttpServerLimits limits,
                               const HttpServerHooks& hooks) {
  if (buffer.size() > 0) co_return true;
  const auto idle_since = std::chrono::steady_clock::now();
  Milliseconds idle_timeout = limits.idle_timeout;
  stream->expires_never();
  while (true) {
    const auto deadline = idle_since + idle_timeout;
    std::optional<ConnectionSetEntry> idle(std::in_place, hooks.idle, *stream);
    const bool is_ready = co_await WaitForInput(stream, deadline);
    idle.reset();
    // A request may have arrived although the wait ended for another reason.
    const Arrival arrival = ReadArrived(*stream, buffer);
    if (arrival == Arrival::kBytes) co_return true;
    if (arrival == Arrival::kEnd) co_return false;
    if (is_ready) continue;
    if (std::chrono::steady_clock::now() < deadline) co_return false;
    if (hooks.limits) limits = hooks.limits();
    if (limits.idle_timeout <= idle_timeout) co_return false;
    idle_timeout = limits.idle_timeout;
  }
}

/// Handles a request. An exception of the handler ends the exchange with an
/// error response, or without one if a response has begun.
Awaitable<void> HandleExchange(Exchange& exchange,
                               const HttpServerHooks& hooks) {
  std::string failure;
  try {
    co_await hooks.handle(exchange);
  } catch (const std::exception& exception) {
    failure = exception.what();
    LogEvent(Event::kHandlerFailed,
             {{"detail", failure},
              {"answered", exchange.Answered() ? "true" : "false"}});
  }
  if (failure.empty()) co_return;
  if (exchange.Answered() || !hooks.make_error_response) {
    exchange.Abort();
    co_return;
  }
  const Error error{ResultCode::kOutcomeUnknown, failure, Execution::kUnknown};
  HttpResponse response = hooks.make_error_response(error);
  co_await exchange.Respond(std::move(response));
}

/// Counts a request as in progress for the lifetime of the object.
class InProgressCount {
 public:
  explicit InProgressCount(const HttpServerHooks& hooks)
      : m_count(hooks.requests_in_progress) {
    if (m_count) ++*m_count;
  }
  InProgressCount(const InProgressCount&) = delete;
  InProgressCount& operator=(const InProgressCount&) = delete;
  ~InProgressCount() {
    if (m_count) --*m_count;
  }

 private:
  std::shared_ptr<std::size_t> m_count;
};

/// @param counted  keeps a shutdown from ending before the connection is known
///                 to wait for a request
Awaitable<void> ServeConnection(StreamPtr stream, HttpServerLimits limits,
                                HttpServerHooks hooks,
                                ConnectionLimit::Slot /*slot*/,
                                std::unique_ptr<InProgressCount> counted) {
  beast::flat_buffer buffer;
  while (true) {
    counted.reset();
    if (buffer.capacity() > kRequestReadBytes) buffer.shrink_to_fit();
    if (hooks.limits) limits = hooks.limits();
    const bool arrived = co_await WaitForRequest(stream, buffer, limits, hooks);
    // A request that crosses the close is not read, which tells the peer that
    // it was not accepted.
    if (!arrived) co_return;
    counted = std::make_unique<InProgressCount>(hooks);
    // The configuration may have changed while the connection was idle.
    if (hooks.limits) limits = hooks.limits();
    MemoryReservation memory(hooks.memory);
    http::request_parser<http::string_body> parser;
    std::optional<ConnectionSetEntry> reading(std::in_place, hooks.reading,
                                              *stream);
    const error_code error =
        co_await ReadRequest(*stream, buffer, parser, limits, memory);
    reading.reset();
    if (error) {
      co_await RejectUnreadable(stream, error, limits, hooks);
      break;
    }
    Exchange exchange(stream, parser.release(), limits.write_timeout,
                      hooks.close_after_response);
    co_await HandleExchange(exchange, hooks);
    exchange.StopWatching();
    if (!exchange.ConnectionUsable()) co_return;
    if (!exchange.KeepAlive()) break;
    // A response that started before the shutdown did not announce the close,
    // so another request may follow. Late in the shutdown it must not start.
    if (hooks.no_more_requests && hooks.no_more_requests()) break;
  }
  co_await CloseGracefully(*stream);
}

}  // namespace

Awaitable<void> ServeHttp(std::shared_ptr<tcp::acceptor> acceptor,
                          HttpServerLimits limits, HttpServerHooks hooks) {
  const auto executor = co_await asio::this_coro::executor;
  if (!hooks.idle) hooks.idle = std::make_shared<ConnectionSet>();
  auto limit = hooks.connections;
  if (!limit)
    limit = std::make_shared<ConnectionLimit>("", kUnlimitedConnections);
  const auto idle = hooks.idle;
  ConnectionHandler serve = [executor, limits, hooks](
                                tcp::socket socket,
                                ConnectionLimit::Slot slot) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    try {
      auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
      Spawn(executor, "connection",
            ServeConnection(std::move(stream), limits, hooks, std::move(slot),
                            std::make_unique<InProgressCount>(hooks)));
    } catch (...) {
      RecordTaskFailure("connection", std::current_exception());
    }
  };
  co_await AcceptConnections(std::move(acceptor), std::move(limit), idle,
                             std::move(serve));
}

}  // namespace cowslipknot
