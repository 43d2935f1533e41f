#include "transport/http_client.h"

#include "transport/endpoint.h"

namespace cowslipknot {

struct HttpClient::Connection {
  Connection(const asio::any_io_executor& executor, Endpoint peer)
      : stream(executor), endpoint(std::move(peer)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Endpoint endpoint;
  std::chrono::steady_clock::time_point idle_since;
};

namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 32;
constexpr std::size_t kPieceBytes = 16 << 10;
constexpr std::uint32_t kMaxHeaderBytes = 32 << 10;
constexpr std::chrono::seconds kMaxIdle(15);

tl::unexpected<Error> CallFailure(error_code error,
                                  const CallProgress& progress) {
  const Execution execution =
      progress.first_byte_sent ? Execution::kUnknown : Execution::kNotRun;
  if (error == beast::error::timeout) {
    return Fail(ResultCode::kBackendTimeout, error.message(), execution);
  }
  if (error == http::error::body_limit) {
    return Fail(ResultCode::kBackendMalformed, error.message(), execution);
  }
  const bool malformed =
      error.category() ==
          http::make_error_code(http::error::bad_version).category() &&
      error != http::error::end_of_stream;
  return Fail(
      malformed ? ResultCode::kBackendMalformed : ResultCode::kBackendFailed,
      error.message(), execution);
}

class PooledStream : public ResponseStream {
 public:
  PooledStream(std::weak_ptr<HttpClient> client,
               HttpClient::ConnectionPtr connection, ByteCount max_body)
      : m_client(std::move(client)), m_connection(std::move(connection)) {
    m_parser.body_limit(max_body.Count());
    m_parser.header_limit(kMaxHeaderBytes);
  }

  Awaitable<error_code> ReadHeader(Milliseconds timeout) {
    m_connection->stream.expires_after(timeout);
    auto [error, size] = co_await http::async_read_header(
        m_connection->stream, m_connection->buffer, m_parser, kAsTuple);
    co_return error;
  }

  const http::response_header<>& Header() const override {
    return m_parser.get().base();
  }

  Awaitable<Result<std::string>> Read(Milliseconds timeout) override {
    std::string piece;
    piece.resize(kPieceBytes);
    while (!m_parser.is_done()) {
      m_parser.get().body().data = piece.data();
      m_parser.get().body().size = piece.size();
      m_connection->stream.expires_after(timeout);
      auto [error, size] = co_await http::async_read_some(
          m_connection->stream, m_connection->buffer, m_parser, kAsTuple);
      const std::size_t filled = kPieceBytes - m_parser.get().body().size;
      if (error && error != http::error::need_buffer) {
        CallProgress progress;
        progress.first_byte_sent = true;
        co_return CallFailure(error, progress);
      }
      if (filled > 0) {
        piece.resize(filled);
        co_return piece;
      }
    }
    Finish();
    co_return std::string();
  }

 private:
  /// Pools the connection: the whole answer was read.
  void Finish() {
    const auto client = m_client.lock();
    if (!m_connection || !client) return;
    const bool clean = m_connection->buffer.size() == 0;
    if (clean && m_parser.get().keep_alive()) {
      client->Return(std::move(m_connection));
    }
    m_connection.reset();
  }

  std::weak_ptr<HttpClient> m_client;
  HttpClient::ConnectionPtr m_connection;
  http::response_parser<http::buffer_body> m_parser;
};

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(asio::any_io_executor executor,
                                               ByteCount max_response) {
  return std::shared_ptr<HttpClient>(
      new HttpClient(std::move(executor), max_response));
}

void HttpClient::Return(ConnectionPtr connection) {
  auto& idle = m_idle[connection->endpoint];
  if (idle.size() >= kMaxIdlePerEndpoint) return;
  connection->stream.expires_never();
  connection->idle_since = std::chrono::steady_clock::now();
  idle.push_back(std::move(connection));
}

void HttpClient::Forget(const Endpoint& endpoint) { m_idle.erase(endpoint); }

Awaitable<Result<HttpClient::ConnectionPtr>> HttpClient::Connect(
    const Endpoint& endpoint, Milliseconds timeout, Reuse reuse,
    CallProgress& progress) {
  auto& idle = m_idle[endpoint];
  const auto now = std::chrono::steady_clock::now();
  while (reuse == Reuse::kAllowed && !idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (now - connection->idle_since > kMaxIdle) continue;
    progress.reused_connection = true;
    co_return connection;
  }
  progress.reused_connection = false;
  const auto address = ToTcpEndpoint(endpoint);
  if (!address) co_return tl::make_unexpected(address.error());
  auto connection = std::make_shared<Connection>(m_executor, endpoint);
  connection->stream.expires_after(timeout);
  auto [error] = co_await connection->stream.async_connect(*address, kAsTuple);
  if (error) {
    co_return Fail(ResultCode::kConnectFailed,
                   FormatEndpoint(endpoint) + ": " + error.message());
  }
  connection->stream.socket().set_option(tcp::no_delay(true), error);
  co_return connection;
}

Awaitable<Result<HttpClient::ConnectionPtr>> HttpClient::SendRequest(
    const Endpoint& endpoint, HttpRequest& request, Milliseconds timeout,
    Reuse reuse, CallProgress& progress) {
  auto connected = co_await Connect(endpoint, timeout, reuse, progress);
  if (!connected) co_return tl::make_unexpected(connected.error());
  ConnectionPtr connection = std::move(*connected);
  if (request.find(http::field::host) == request.end()) {
    request.set(http::field::host, FormatEndpoint(endpoint));
  }
  request.prepare_payload();
  progress.first_byte_sent = true;
  connection->stream.expires_after(timeout);
  auto [error, size] =
      co_await http::async_write(connection->stream, request, kAsTuple);
  if (error) co_return CallFailure(error, progress);
  co_return connection;
}

Awaitable<Result<std::unique_ptr<ResponseStream>>> HttpClient::Open(
    Endpoint endpoint, HttpRequest request, Milliseconds timeout, Reuse reuse,
    CallProgress& progress) {
  auto sent = co_await SendRequest(endpoint, request, timeout, reuse, progress);
  if (!sent) co_return tl::make_unexpected(sent.error());
  auto stream = std::make_unique<PooledStream>(
      weak_from_this(), std::move(*sent), m_max_response);
  const error_code error = co_await stream->ReadHeader(timeout);
  if (error) co_return CallFailure(error, progress);
  progress.response_started = true;
  co_return std::unique_ptr<ResponseStream>(std::move(stream));
}

Awaitable<Result<HttpResponse>> HttpClient::Call(Endpoint endpoint,
                                                 HttpRequest request,
                                                 Milliseconds timeout,
                                                 Reuse reuse,
                                                 CallProgress& progress) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  auto opened = co_await Open(std::move(endpoint), std::move(request), timeout,
                              reuse, progress);
  if (!opened) co_return tl::make_unexpected(opened.error());
  HttpResponse response;
  response.base() = (*opened)->Header();
  while (true) {
    const auto left = std::chrono::duration_cast<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      co_return Fail(ResultCode::kBackendTimeout, "body", Execution::kUnknown);
    }
    auto piece = co_await (*opened)->Read(left);
    if (!piece) co_return tl::make_unexpected(piece.error());
    if (piece->empty()) break;
    response.body() += *piece;
  }
  co_return response;
}

}  // namespace cowslipknot
