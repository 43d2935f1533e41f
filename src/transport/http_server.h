#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/memory_budget.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"
#include "transport/connection_limit.h"
#include "transport/connection_set.h"
#include "transport/http_client.h"

namespace cowslipknot {

struct HttpServerLimits {
  ByteCount max_header_size{16 << 10};
  ByteCount max_body_size{8 << 20};
  Milliseconds idle_timeout{60000};  ///< between requests of a connection
  /// From a request's first byte to its last.
  Milliseconds read_timeout{60000};
  Milliseconds write_timeout{30000};
};

/// One request and the means to respond to it. Respond exactly once.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual HttpRequest& Request() = 0;
  /// Sends a complete response. If a response has begun, closes the connection
  /// instead. @return false if the peer does not get the response
  virtual Awaitable<bool> Respond(HttpResponse response) = 0;
  /// Sends the header of a chunked response.
  virtual Awaitable<bool> BeginStream(HttpResponse header) = 0;
  virtual Awaitable<bool> WriteChunk(std::string_view piece) = 0;
  virtual Awaitable<bool> EndStream() = 0;
  /// Closes the connection without completing the response.
  virtual void Abort() = 0;
  virtual bool Answered() const = 0;
  /// Calls `on_disconnect` once if the peer closes its connection before the
  /// response is complete.
  virtual void OnPeerDisconnect(std::function<void()> on_disconnect) = 0;
};

/// Callbacks of the server.
struct HttpServerHooks {
  std::function<Awaitable<void>(HttpExchange&)> handle;
  /// Makes the response to a request that could not be parsed, or whose handler
  /// failed.
  std::function<HttpResponse(const Error&)> make_error_response;
  /// Whether connections should close after the response in flight.
  std::function<bool()> close_after_response;
  /// Whether no further request may start on a persistent connection; may be
  /// empty.
  std::function<bool()> no_more_requests;
  /// Returns the limits for the next request; empty if they do not change.
  std::function<HttpServerLimits()> limits;
  /// Connections that wait for a request, which close when they are cancelled;
  /// may be null.
  std::shared_ptr<ConnectionSet> idle;
  /// Connections on which a request is being read, which is rejected when they
  /// are cancelled; may be null.
  std::shared_ptr<ConnectionSet> reading;
  /// Number of requests between their first byte and the end of the response,
  /// or the close that follows; may be null.
  std::shared_ptr<std::size_t> requests_in_progress;
  /// Bounds the request bodies of all connections; may be null.
  std::shared_ptr<MemoryBudget> memory;
  /// Bounds the number of connections; may be null.
  std::shared_ptr<ConnectionLimit> connections;
};

/// Accepts connections until the acceptor is closed.
Awaitable<void> ServeHttp(std::shared_ptr<tcp::acceptor> acceptor,
                          HttpServerLimits limits, HttpServerHooks hooks);

}  // namespace cowslipknot
