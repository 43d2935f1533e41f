#pragma once

#include <string>
#include <string_view>

#include "transport/http_server.h"

namespace cowslipknot {

/// Limits the connections of a listener for operators or health checks. A
/// connection on which a request is being read counts as idle, so that slow
/// senders keep nobody out.
void LimitOperatorConnections(HttpServerHooks& hooks,
                              const std::string& listener);

/// Starts a loop that accepts connections until the acceptor is closed, also
/// after a failure.
void StartHttp(const asio::any_io_executor& executor, std::string_view name,
               const std::shared_ptr<tcp::acceptor>& acceptor,
               const HttpServerHooks& hooks,
               const HttpServerLimits& limits = HttpServerLimits());

}  // namespace cowslipknot
