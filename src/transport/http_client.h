#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"

namespace cowslipknot {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Progress of a call. After a failure it tells how far the call got.
struct CallProgress {
  /// Closes the connection in use, which makes the pending call fail. Empty
  /// until the call has a connection.
  std::function<void()> abort;
  /// Called when the response header was read, if set.
  std::function<void(const http::response_header<>&)> on_header;
  bool first_byte_sent = false;    ///< request bytes may have been sent
  bool reused_connection = false;  ///< the connection came from the pool
  bool response_started = false;
  /// When the connection in use was opened, in TimeSinceBoot().
  std::chrono::nanoseconds connection_opened_at{0};
  /// When the response header was read, in TimeSinceBoot().
  std::chrono::nanoseconds header_read_at{0};
};

/// Whether a call may use a pooled connection.
enum class Reuse : std::uint8_t { kAllowed, kNewOnly };

struct CallOptions {
  /// From the start of the call until the response header.
  Milliseconds timeout{1000};
  Milliseconds connect_timeout{1000};
  Reuse reuse = Reuse::kAllowed;
  /// A pooled connection that was idle for longer is not used.
  Milliseconds max_idle{15000};
  /// Whether a response belongs to this call. Other responses are read to
  /// their end and discarded, because a server may send a late response to an
  /// earlier call.
  std::function<bool(const http::response_header<>&)> is_own_response;
  /// Names the request in its response; empty if responses name none.
  ///
  /// A connection carries only one request of each id, so that no response to
  /// an earlier one can be taken for the response to this one. Where responses
  /// name no request, a connection is not used again after one that reports a
  /// failure: the peer may repeat it.
  std::string request_id;
  /// Asked right before the first byte is sent; may be empty. Otherwise the
  /// call fails without being sent.
  std::function<bool()> may_send;
};

/// Options of a call with one timeout for connecting and for its response.
inline CallOptions WithTimeout(Milliseconds timeout, Reuse reuse) {
  CallOptions options;
  options.timeout = timeout;
  options.connect_timeout = timeout;
  options.reuse = reuse;
  return options;
}

/// A response whose body is read in pieces.
///
/// Destroying it before the end closes the connection, so that unread bytes are
/// not taken for the response to a later request.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;
  virtual const http::response_header<>& Header() const = 0;
  /// Whether only the end of the connection ends the body, for lack of a length
  /// and of chunks.
  virtual bool EndsWithConnection() const = 0;
  /// Reads the next piece. After a timeout the read may be repeated.
  /// @return the next piece; empty at the end of a complete body
  virtual Awaitable<Result<std::string>> Read(Milliseconds timeout) = 0;
};

/// HTTP/1.1 client with a connection pool. Not thread-safe: use one per
/// executor.
///
/// A call that is given up resets its connection, as does the end of the
/// process. The operating system then discards what it has not delivered, so
/// that the call cannot arrive later.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  /// @param max_response     largest response body that is accepted
  /// @param max_connections  with the idle ones, which are closed first
  static std::shared_ptr<HttpClient> Create(
      asio::any_io_executor executor, ByteCount max_response,
      std::size_t max_connections = std::numeric_limits<std::size_t>::max());

  /// Sends a request and reads the complete response within `timeout`.
  Awaitable<Result<HttpResponse>> Call(Endpoint endpoint, HttpRequest request,
                                       Milliseconds timeout, Reuse reuse,
                                       CallProgress& progress);

  /// The same, within the timeout of `options`.
  Awaitable<Result<HttpResponse>> Call(Endpoint endpoint, HttpRequest request,
                                       CallOptions options,
                                       CallProgress& progress);

  /// Sends a request and reads the header within `timeout`.
  Awaitable<Result<std::unique_ptr<ResponseStream>>> Open(
      Endpoint endpoint, HttpRequest request, CallOptions options,
      CallProgress& progress);

  /// Called with the endpoint of a connection that the peer ended without
  /// having announced it, and when that connection was opened; also when the
  /// peer refuses one. Must not use the client.
  using LossObserver =
      std::function<void(const Endpoint&, std::chrono::nanoseconds opened_at)>;
  void SetLossObserver(LossObserver observer) {
    m_on_lost = std::move(observer);
  }

  /// Closes idle connections to an endpoint.
  void CloseIdle(const Endpoint& endpoint);
  /// Closes the idle connections to an endpoint that the peer has ended.
  void CloseEndedIdle(const Endpoint& endpoint);

  /// Open connections, also idle ones.
  std::size_t ConnectionCount() const { return *m_connections; }

  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  /// Adds a connection to the pool.
  void ReturnToPool(ConnectionPtr connection);
  /// Reports a connection that failed, if the peer ended it.
  void OnConnectionError(const Connection& connection, error_code error) const;

 private:
  HttpClient(asio::any_io_executor executor, ByteCount max_response,
             std::size_t max_connections)
      : m_executor(std::move(executor)),
        m_max_response(max_response),
        m_max_connections(max_connections) {}

  using Deadline = std::chrono::steady_clock::time_point;

  Awaitable<Result<ConnectionPtr>> Connect(const Endpoint& endpoint,
                                           const CallOptions& options,
                                           Deadline deadline,
                                           CallProgress& progress);
  /// @return kDescriptorsExhausted if this process, not the server, is the
  /// reason of a failure
  Awaitable<Result<void>> OpenSocket(ConnectionPtr connection);
  /// Closes the connection that has been idle longest.
  /// @return false if none is idle
  bool CloseLongestIdle();
  /// Whether an idle connection may be used. Reports one that the peer has
  /// ended.
  bool IsUsable(Connection& connection) const;
  ConnectionPtr TakeIdle(const Endpoint& endpoint, const CallOptions& options);
  Awaitable<Result<ConnectionPtr>> SendRequest(const Endpoint& endpoint,
                                               HttpRequest& request,
                                               const CallOptions& options,
                                               Deadline deadline,
                                               CallProgress& progress);

  asio::any_io_executor m_executor;
  ByteCount m_max_response;
  std::size_t m_max_connections;
  std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
  std::map<Endpoint, std::deque<ConnectionPtr>> m_idle;
  LossObserver m_on_lost;
};

}  // namespace cowslipknot
