#include "transport/http_listener.h"

#include "transport/event_loop.h"

namespace cowslipknot {

void StartHttp(const asio::any_io_executor& executor, std::string_view name,
               const std::shared_ptr<tcp::acceptor>& acceptor,
               const HttpServerHooks& hooks, const HttpServerLimits& limits) {
  SpawnLoop(
      executor, name,
      [acceptor, limits, hooks] { return ServeHttp(acceptor, limits, hooks); },
      WhenClosed(acceptor));
}

}  // namespace cowslipknot
