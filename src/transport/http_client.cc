#include "transport/http_client.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <vector>

#include "base/clock.h"
#include "transport/endpoint.h"
#include "transport/local_shortage.h"

namespace cowslipknot {
namespace {

/// For connections whose peer announces no idle timeout.
constexpr std::chrono::seconds kDefaultIdleTimeout(15);
constexpr std::uint32_t kMaxHeaderBytes = 32 << 10;
/// Bounds what the parser asks to keep until it has read the end of a header, a
/// chunk's size line or a trailer; it limits only headers itself.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes + (4 << 10);
/// Bounds the ids that a connection remembers; then it is closed.
constexpr std::size_t kMaxRequestsPerConnection = 1000;

/// Two ids with one hash only cost a connection.
std::uint64_t HashOf(const std::string& request_id) {
  return XXH3_64bits(request_id.data(), request_id.size());
}

}  // namespace

struct HttpClient::Connection {
  Connection(const asio::any_io_executor& executor, Endpoint peer,
             std::shared_ptr<std::size_t> counter)
      : stream(executor), endpoint(std::move(peer)), count(std::move(counter)) {
    ++*count;
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { --*count; }

  /// Whether a response to an earlier request could be taken for the response
  /// to a request with this id.
  bool HasCarried(const std::string& request_id) const {
    return !request_id.empty() &&
           std::ranges::find(carried, HashOf(request_id)) != carried.end();
  }

  void RecordRequest(const std::string& request_id) {
    if (!request_id.empty()) carried.push_back(HashOf(request_id));
  }

  /// Whether the peer may still send another response that a later request
  /// could not tell from its own.
  bool IsAmbiguousAfter(const http::response_header<>& header,
                        bool names_request) const {
    if (names_request) return carried.size() >= kMaxRequestsPerConnection;
    return http::to_status_class(header.result()) !=
           http::status_class::successful;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  Endpoint endpoint;
  std::chrono::nanoseconds opened_at{0};  ///< in TimeSinceBoot()
  std::chrono::steady_clock::time_point idle_since;
  std::chrono::milliseconds idle_timeout = kDefaultIdleTimeout;
  std::shared_ptr<std::size_t> count;
  std::vector<std::uint64_t> carried;  ///< hashes of the requests' ids
  std::uint64_t owner = 0;             ///< counts its calls and idle times
};

namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 32;
constexpr std::size_t kReadBufferBytes = 16 << 10;
/// Fraction of the peer's idle timeout for which a connection is reused. Later
/// the peer may already be closing it.
constexpr double kIdleTimeoutFraction = 0.7;
/// Responses to earlier calls that are skipped before the call fails.
constexpr int kMaxSkippedResponses = 4;
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;

/// Returns how long a connection may idle in the pool, from the timeout that
/// the peer announces.
std::optional<std::chrono::milliseconds> ReusableIdleTime(
    const http::response_header<>& header) {
  const std::string_view value = header["Keep-Alive"];
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t start = value.find(kTimeout);
  if (start == std::string_view::npos) return std::nullopt;
  const std::string_view digits = value.substr(start + kTimeout.size());
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc()) return std::nullopt;
  const std::chrono::duration<double> limit(seconds * kIdleTimeoutFraction);
  return std::chrono::duration_cast<std::chrono::milliseconds>(limit);
}

/// What has arrived on an idle connection.
enum class IdleInput : std::uint8_t {
  kNone,
  kBytes,  ///< that belong to no call
  kEnd,    ///< the peer has closed or reset the connection
};

IdleInput FindIdleInput(tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return IdleInput::kBytes;
  const bool is_open =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return is_open ? IdleInput::kNone : IdleInput::kEnd;
}

/// Whether an error of a connection says that the peer has ended it.
bool IsEndByPeer(error_code error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe ||
         error == http::error::end_of_stream ||
         error == http::error::partial_message;
}

/// Whether the peer of a connection that ended has received all that was sent
/// to it, and has not reset the connection. Reading alone doesn't tell: after
/// an end of stream, the kernel reports no reset. Where the system doesn't tell
/// how much is unacknowledged, all counts as received.
bool HasReceivedAll(tcp::socket& socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  const int handle = socket.native_handle();
  if (::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error != 0) {
    return false;
  }
  int unacknowledged = 0;
  return ::ioctl(handle, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

tl::unexpected<Error> MakeCallError(error_code error,
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

/// Whether a call is over. The timer of a stream does not end reads that
/// complete at once, so loops of reads ask.
bool HasPassed(std::chrono::steady_clock::time_point deadline) {
  return std::chrono::steady_clock::now() >= deadline;
}

/// Cancels the pending read of a connection after a timeout, without closing
/// the connection. Ends with the object.
class ReadTimer {
 public:
  ReadTimer(const HttpClient::ConnectionPtr& connection, Milliseconds timeout)
      : m_timer(connection->stream.get_executor(), timeout) {
    connection->stream.expires_never();
    m_timer.async_wait([connection, state = m_state](error_code error) {
      if (error || *state == State::kEnded) return;
      *state = State::kExpired;
      connection->stream.cancel();
    });
  }
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;
  ~ReadTimer() { *m_state = State::kEnded; }

  bool Expired() const { return *m_state == State::kExpired; }

 private:
  enum class State : std::uint8_t { kRunning, kExpired, kEnded };
  asio::steady_timer m_timer;
  std::shared_ptr<State> m_state = std::make_shared<State>(State::kRunning);
};

class PooledResponseStream : public ResponseStream {
 public:
  PooledResponseStream(std::weak_ptr<HttpClient> client,
                       HttpClient::ConnectionPtr connection, ByteCount max_body,
                       bool names_request)
      : m_client(std::move(client)),
        m_connection(std::move(connection)),
        m_max_body(max_body),
        m_names_request(names_request) {}

  /// Reads the response header. Skips interim responses and responses to
  /// earlier calls.
  Awaitable<error_code> ReadHeader(
      const CallOptions& options,
      std::chrono::steady_clock::time_point deadline) {
    m_connection->stream.expires_at(deadline);
    for (int skipped = 0; skipped <= kMaxSkippedResponses;) {
      m_parser.emplace();
      m_parser->body_limit(m_max_body.Count());
      m_parser->header_limit(kMaxHeaderBytes);
      auto [error, size] = co_await http::async_read_header(
          m_connection->stream, m_connection->buffer, *m_parser, kAsTuple);
      if (error) co_return error;
      const unsigned status = m_parser->get().result_int();
      if (status < kLowestStatus || status > kHighestStatus)
        co_return make_error_code(http::error::bad_status);
      const auto kind = http::to_status_class(m_parser->get().result());
      if (kind == http::status_class::informational) {
        if (HasPassed(deadline))
          co_return make_error_code(beast::error::timeout);
        continue;
      }
      if (!options.is_own_response || options.is_own_response(Header()))
        co_return error;
      ++skipped;
      const error_code discard_error = co_await DiscardBody(deadline);
      if (discard_error) co_return discard_error;
    }
    co_return make_error_code(http::error::bad_status);
  }

  const http::response_header<>& Header() const override {
    return m_parser->get().base();
  }

  bool EndsWithConnection() const override { return m_parser->need_eof(); }

  Awaitable<Result<std::string>> Read(Milliseconds timeout) override {
    std::string piece;
    piece.resize(kReadBufferBytes);
    while (!m_parser->is_done()) {
      m_parser->get().body().data = piece.data();
      m_parser->get().body().size = piece.size();
      const ReadTimer timer(m_connection, timeout);
      auto [error, size] = co_await http::async_read_some(
          m_connection->stream, m_connection->buffer, *m_parser, kAsTuple);
      if (error && timer.Expired()) error = beast::error::timeout;
      const std::size_t filled = kReadBufferBytes - m_parser->get().body().size;
      if (error && error != http::error::need_buffer) {
        const auto client = m_client.lock();
        if (client) client->OnConnectionError(*m_connection, error);
        CallProgress progress;
        progress.first_byte_sent = true;
        co_return MakeCallError(error, progress);
      }
      if (filled > 0) {
        piece.resize(filled);
        co_return piece;
      }
    }
    if (EndsWithConnection() && m_connection &&
        !HasReceivedAll(m_connection->stream.socket())) {
      co_return Fail(ResultCode::kBackendFailed,
                     "the connection ended before the request was received",
                     Execution::kUnknown);
    }
    ReleaseConnection();
    co_return std::string();
  }

 private:
  /// Reads and discards the body of a response to an earlier call.
  Awaitable<error_code> DiscardBody(
      std::chrono::steady_clock::time_point deadline) {
    std::string piece(kReadBufferBytes, '\0');
    while (!m_parser->is_done()) {
      if (HasPassed(deadline)) co_return make_error_code(beast::error::timeout);
      m_parser->get().body().data = piece.data();
      m_parser->get().body().size = piece.size();
      auto [error, size] = co_await http::async_read_some(
          m_connection->stream, m_connection->buffer, *m_parser, kAsTuple);
      if (error && error != http::error::need_buffer) co_return error;
    }
    co_return error_code();
  }

  /// Returns the connection to the pool after the complete response was read.
  void ReleaseConnection() {
    const auto client = m_client.lock();
    if (!m_connection || !client) return;
    const bool clean =
        m_connection->buffer.size() == 0 &&
        !m_connection->IsAmbiguousAfter(Header(), m_names_request);
    if (clean && m_parser->get().keep_alive()) {
      const auto limit = ReusableIdleTime(Header());
      if (limit) m_connection->idle_timeout = *limit;
      client->ReturnToPool(std::move(m_connection));
    }
    m_connection.reset();
  }

  std::weak_ptr<HttpClient> m_client;
  HttpClient::ConnectionPtr m_connection;
  ByteCount m_max_body;
  bool m_names_request;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
};

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(asio::any_io_executor executor,
                                               ByteCount max_response,
                                               std::size_t max_connections) {
  return std::shared_ptr<HttpClient>(
      new HttpClient(std::move(executor), max_response, max_connections));
}

void HttpClient::ReturnToPool(ConnectionPtr connection) {
  auto& idle = m_idle[connection->endpoint];
  if (idle.size() >= kMaxIdlePerEndpoint) return;
  if (connection->buffer.capacity() > kReadBufferBytes)
    connection->buffer.shrink_to_fit();
  connection->stream.expires_never();
  connection->idle_since = std::chrono::steady_clock::now();
  ++connection->owner;  // the last call can no longer abort it
  idle.push_back(std::move(connection));
}

bool HttpClient::IsUsable(Connection& connection) const {
  const IdleInput input = FindIdleInput(connection.stream.socket());
  if (input == IdleInput::kEnd && m_on_lost)
    m_on_lost(connection.endpoint, connection.opened_at);
  return input == IdleInput::kNone;
}

void HttpClient::OnConnectionError(const Connection& connection,
                                   error_code error) const {
  if (m_on_lost && IsEndByPeer(error))
    m_on_lost(connection.endpoint, connection.opened_at);
}

void HttpClient::CloseEndedIdle(const Endpoint& endpoint) {
  const auto idle = m_idle.find(endpoint);
  if (idle == m_idle.end()) return;
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(idle->second, [&](const ConnectionPtr& connection) {
    const auto idle_for = now - connection->idle_since;
    return idle_for > connection->idle_timeout || !IsUsable(*connection);
  });
}

void HttpClient::CloseIdle(const Endpoint& endpoint) {
  CloseEndedIdle(endpoint);
  m_idle.erase(endpoint);
}

HttpClient::ConnectionPtr HttpClient::TakeIdle(const Endpoint& endpoint,
                                               const CallOptions& options) {
  auto& idle = m_idle[endpoint];
  const auto now = std::chrono::steady_clock::now();
  std::size_t passed_over = 0;
  std::size_t oldest_passed_over = 0;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (idle[i]->HasCarried(options.request_id)) {
      ++passed_over;
      oldest_passed_over = i;
      continue;
    }
    ConnectionPtr connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    const auto idle_for = now - connection->idle_since;
    // A peer may close a connection after the time that it announces.
    if (idle_for > connection->idle_timeout) continue;
    if (IsUsable(*connection) && idle_for <= options.max_idle)
      return connection;
  }
  // An id that is repeated often needs a new connection each time.
  if (passed_over > 1) {
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(oldest_passed_over));
  }
  return nullptr;
}

bool HttpClient::CloseLongestIdle() {
  auto longest = m_idle.end();
  for (auto idle = m_idle.begin(); idle != m_idle.end(); ++idle) {
    if (idle->second.empty()) continue;
    const bool longer =
        longest == m_idle.end() ||
        idle->second.front()->idle_since < longest->second.front()->idle_since;
    if (longer) longest = idle;
  }
  if (longest == m_idle.end()) return false;
  longest->second.pop_front();
  return true;
}

Awaitable<Result<void>> HttpClient::OpenSocket(ConnectionPtr connection) {
  const Endpoint& endpoint = connection->endpoint;
  const auto address = ToTcpEndpoint(endpoint);
  if (!address) co_return tl::make_unexpected(address.error());
  auto [error] = co_await connection->stream.async_connect(*address, kAsTuple);
  if (IsLocalShortage(error)) {
    connection->stream.close();
    co_return FailForShortage(endpoint, error.message());
  }
  if (error) {
    if (m_on_lost && error == asio::error::connection_refused)
      m_on_lost(endpoint, TimeSinceBoot());
    co_return Fail(ResultCode::kConnectFailed,
                   FormatEndpoint(endpoint) + ": " + error.message());
  }
  connection->opened_at = TimeSinceBoot();
  connection->stream.socket().set_option(tcp::no_delay(true), error);
  if (!ResetOnClose(connection->stream.socket())) {
    co_return Fail(ResultCode::kConnectFailed,
                   FormatEndpoint(endpoint) + ": cannot be reset on close");
  }
  co_return Result<void>();
}

Awaitable<Result<HttpClient::ConnectionPtr>> HttpClient::Connect(
    const Endpoint& endpoint, const CallOptions& options, Deadline deadline,
    CallProgress& progress) {
  ConnectionPtr connection;
  if (options.reuse == Reuse::kAllowed) {
    connection = TakeIdle(endpoint, options);
  }
  progress.reused_connection = connection != nullptr;
  if (!connection) {
    while (*m_connections >= m_max_connections && CloseLongestIdle()) {
    }
    if (*m_connections >= m_max_connections)
      co_return FailForShortage(endpoint, "all connections are in use");
    connection =
        std::make_shared<Connection>(m_executor, endpoint, m_connections);
  }
  const std::uint64_t owner = ++connection->owner;
  progress.abort = [weak = std::weak_ptr<Connection>(connection), owner] {
    const auto held = weak.lock();
    if (held && held->owner == owner) held->stream.close();
  };
  if (progress.reused_connection) co_return connection;
  connection->stream.expires_at(std::min(
      deadline, std::chrono::steady_clock::now() + options.connect_timeout));
  auto opened = co_await OpenSocket(connection);
  const bool lacks_descriptor =
      !opened && opened.error().code == ResultCode::kDescriptorsExhausted;
  if (lacks_descriptor && CloseLongestIdle())
    opened = co_await OpenSocket(connection);
  if (!opened) co_return tl::make_unexpected(opened.error());
  co_return connection;
}

Awaitable<Result<HttpClient::ConnectionPtr>> HttpClient::SendRequest(
    const Endpoint& endpoint, HttpRequest& request, const CallOptions& options,
    Deadline deadline, CallProgress& progress) {
  auto connected = co_await Connect(endpoint, options, deadline, progress);
  if (!connected) co_return tl::make_unexpected(connected.error());
  ConnectionPtr connection = std::move(*connected);
  if (request.find(http::field::host) == request.end()) {
    request.set(http::field::host, FormatEndpoint(endpoint));
  }
  request.prepare_payload();
  if (options.may_send && !options.may_send()) {
    co_return Fail(ResultCode::kDeadlinePassed, "while connecting");
  }
  progress.first_byte_sent = true;
  progress.connection_opened_at = connection->opened_at;
  connection->RecordRequest(options.request_id);
  connection->stream.expires_at(deadline);
  auto [error, size] =
      co_await http::async_write(connection->stream, request, kAsTuple);
  if (error) {
    OnConnectionError(*connection, error);
    co_return MakeCallError(error, progress);
  }
  co_return connection;
}

Awaitable<Result<std::unique_ptr<ResponseStream>>> HttpClient::Open(
    Endpoint endpoint, HttpRequest request, CallOptions options,
    CallProgress& progress) {
  const Deadline deadline = std::chrono::steady_clock::now() + options.timeout;
  auto sent =
      co_await SendRequest(endpoint, request, options, deadline, progress);
  if (!sent) co_return tl::make_unexpected(sent.error());
  const ConnectionPtr connection = *sent;
  auto stream = std::make_unique<PooledResponseStream>(
      weak_from_this(), std::move(*sent), m_max_response,
      !options.request_id.empty());
  const error_code error = co_await stream->ReadHeader(options, deadline);
  if (error) {
    OnConnectionError(*connection, error);
    co_return MakeCallError(error, progress);
  }
  progress.response_started = true;
  progress.header_read_at = TimeSinceBoot();
  if (progress.on_header) progress.on_header(stream->Header());
  co_return std::unique_ptr<ResponseStream>(std::move(stream));
}

Awaitable<Result<HttpResponse>> HttpClient::Call(Endpoint endpoint,
                                                 HttpRequest request,
                                                 Milliseconds timeout,
                                                 Reuse reuse,
                                                 CallProgress& progress) {
  co_return co_await Call(std::move(endpoint), std::move(request),
                          WithTimeout(timeout, reuse), progress);
}

Awaitable<Result<HttpResponse>> HttpClient::Call(Endpoint endpoint,
                                                 HttpRequest request,
                                                 CallOptions options,
                                                 CallProgress& progress) {
  const Deadline deadline = std::chrono::steady_clock::now() + options.timeout;
  auto opened = co_await Open(std::move(endpoint), std::move(request),
                              std::move(options), progress);
  if (!opened) co_return tl::make_unexpected(opened.error());
  HttpResponse response;
  response.base() = (*opened)->Header();
  while (true) {
    const auto left = std::chrono::duration_cast<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      co_return Fail(ResultCode::kBackendTimeout,
                     "while reading the response body", Execution::kUnknown);
    }
    auto piece = co_await (*opened)->Read(left);
    if (!piece) co_return tl::make_unexpected(piece.error());
    if (piece->empty()) break;
    response.body() += *piece;
  }
  co_return response;
}

}  // namespace cowslipknot
