#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"

namespace cowslipknot {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// How far a call got; read it after a failure.
struct CallProgress {
  /// Closes the connection in use; the pending call then fails. Empty before a
  /// connection is had.
  std::function<void()> abort;
  bool first_byte_sent = false;    ///< request bytes may have left
  bool reused_connection = false;  ///< the connection came from the pool
  bool response_started = false;
};

/// Whether a call may use a connection that served an earlier one.
enum class Reuse : std::uint8_t { kAllowed, kFreshOnly };

/// How a call is made.
struct CallOptions {
  Milliseconds timeout{1000};  ///< to the answer's header
  Milliseconds connect_timeout{1000};
  Reuse reuse = Reuse::kAllowed;
  /// A pooled connection that was idle for longer is not used.
  Milliseconds max_idle{15000};
  /// Whether an answer is this call's. Others are read to their end and
  /// dropped, since a server may send an answer of an earlier call late.
  std::function<bool(const http::response_header<>&)> belongs;
};

/// Options of a call that has one bound for connecting and for its answer.
inline CallOptions WithTimeout(Milliseconds timeout, Reuse reuse) {
  CallOptions options;
  options.timeout = timeout;
  options.connect_timeout = timeout;
  options.reuse = reuse;
  return options;
}

/// A response whose body is read piece by piece.
///
/// Destroying it before the end closes the connection, so that nothing unread
/// can be taken for the answer to a later request.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;
  virtual const http::response_header<>& Header() const = 0;
  /// @return the next piece, empty at the end of a complete body
  virtual Awaitable<Result<std::string>> Read(Milliseconds timeout) = 0;
};

/// HTTP/1.1 calls over pooled connections. Single-threaded: one per executor.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  /// @param max_response  longest body that Call() accepts
  static std::shared_ptr<HttpClient> Create(asio::any_io_executor executor,
                                            ByteCount max_response);

  /// Sends a request and reads the whole answer within `timeout`.
  Awaitable<Result<HttpResponse>> Call(Endpoint endpoint, HttpRequest request,
                                       Milliseconds timeout, Reuse reuse,
                                       CallProgress& progress);

  /// Sends a request and reads the header within `timeout`.
  Awaitable<Result<std::unique_ptr<ResponseStream>>> Open(
      Endpoint endpoint, HttpRequest request, CallOptions options,
      CallProgress& progress);

  /// Closes idle connections to an endpoint.
  void Forget(const Endpoint& endpoint);

  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void Return(ConnectionPtr connection);

 private:
  HttpClient(asio::any_io_executor executor, ByteCount max_response)
      : m_executor(std::move(executor)), m_max_response(max_response) {}

  Awaitable<Result<ConnectionPtr>> Connect(const Endpoint& endpoint,
                                           const CallOptions& options,
                                           CallProgress& progress);
  ConnectionPtr TakeIdle(const Endpoint& endpoint, const CallOptions& options);
  Awaitable<Result<ConnectionPtr>> SendRequest(const Endpoint& endpoint,
                                               HttpRequest& request,
                                               const CallOptions& options,
                                               CallProgress& progress);

  asio::any_io_executor m_executor;
  ByteCount m_max_response;
  std::map<Endpoint, std::deque<ConnectionPtr>> m_idle;
};

}  // namespace cowslipknot
