#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"
#include "transport/http_client.h"

namespace cowslipknot {

struct HttpServerLimits {
  ByteCount header{16 << 10};
  ByteCount body{8 << 20};
  Milliseconds idle{60000};  ///< between requests of a connection
  Milliseconds read{60000};  ///< from a request's first byte to its last
  Milliseconds write{30000};
};

/// One request and the means to answer it. Answer exactly once.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual HttpRequest& Request() = 0;
  /// Sends a whole response. @return false if the peer is gone
  virtual Awaitable<bool> Respond(HttpResponse response) = 0;
  /// Sends the header of a chunked response.
  virtual Awaitable<bool> BeginStream(HttpResponse header) = 0;
  virtual Awaitable<bool> WriteChunk(std::string_view piece) = 0;
  virtual Awaitable<bool> EndStream() = 0;
  /// Closes the connection without completing the answer.
  virtual void Abort() = 0;
  virtual bool Answered() const = 0;
  /// Calls the hook once if the peer closes its connection before the answer
  /// is complete.
  virtual void WatchPeer(std::function<void()> on_gone) = 0;
};

/// Connections that wait for a request.
class IdleConnections {
 public:
  void Add(beast::tcp_stream& stream) { m_streams.insert(&stream); }
  void Remove(beast::tcp_stream& stream) { m_streams.erase(&stream); }
  /// Closes them all; requests that cross the close are not read.
  void CloseAll() {
    for (auto* stream : m_streams) stream->cancel();
  }
  std::size_t Count() const { return m_streams.size(); }

 private:
  std::set<beast::tcp_stream*> m_streams;
};

/// Answers what could not be parsed.
struct HttpServerHooks {
  std::function<Awaitable<void>(HttpExchange&)> handle;
  std::function<HttpResponse(ResultCode)> refuse;
  /// True once connections should close after the response in flight.
  std::function<bool()> closing;
  /// Whether no further request may begin on a kept connection; may be empty.
  std::function<bool()> ending;
  /// The limits for the next request, where they change with time.
  std::function<HttpServerLimits()> limits;
  std::shared_ptr<IdleConnections> idle;  ///< may be null
};

/// Accepts connections until the acceptor is closed.
Awaitable<void> ServeHttp(std::shared_ptr<tcp::acceptor> acceptor,
                          HttpServerLimits limits, HttpServerHooks hooks);

}  // namespace cowslipknot
