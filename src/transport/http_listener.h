#pragma once

#include <string_view>

#include "transport/http_server.h"

namespace cowslipknot {

/// Starts a loop that accepts connections until the acceptor is closed, also
/// after a failure.
void StartHttp(const asio::any_io_executor& executor, std::string_view name,
               const std::shared_ptr<tcp::acceptor>& acceptor,
               const HttpServerHooks& hooks,
               const HttpServerLimits& limits = HttpServerLimits());

}  // namespace cowslipknot
