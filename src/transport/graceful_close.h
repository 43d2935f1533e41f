#pragma once

#include "transport/asio.h"

namespace cowslipknot {

/// Closes a connection so that the peer receives all that was written. Without
/// reading until the peer closes, bytes still in transit from the peer would
/// cause a connection reset.
Awaitable<void> CloseGracefully(beast::tcp_stream& stream);

}  // namespace cowslipknot
