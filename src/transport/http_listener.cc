#include "transport/http_listener.h"

#include "transport/event_loop.h"

namespace cowslipknot {

void LimitOperatorConnections(HttpServerHooks& hooks,
                              const std::string& listener) {
  hooks.connections =
      std::make_shared<ConnectionLimit>(listener, kOperatorConnections);
  hooks.idle = std::make_shared<ConnectionSet>();
  hooks.reading = hooks.idle;
}

void StartHttp(const asio::any_io_executor& executor, std::string_view name,
               const std::shared_ptr<tcp::acceptor>& acceptor,
               const HttpServerHooks& hooks, const HttpServerLimits& limits) {
  SpawnLoop(
      executor, name,
      [acceptor, limits, hooks] { return ServeHttp(acceptor, limits, hooks); },
      WhenClosed(acceptor));
}

}  // namespace cowslipknot
