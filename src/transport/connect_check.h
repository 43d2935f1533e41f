#pragma once

#include "cowslipknot/ids.h"
#include "transport/asio.h"

namespace cowslipknot {

/// Whether an endpoint accepts a TCP connection within the timeout. The
/// connection is closed at once. True if this process could not try, for lack
/// of a descriptor.
Awaitable<bool> AcceptsConnections(const Endpoint& endpoint,
                                   Milliseconds timeout);

}  // namespace cowslipknot
