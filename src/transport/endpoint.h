#pragma once

#include "base/endpoint_text.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"

namespace cowslipknot {

/// Converts to Asio's endpoint type. The host must be an IP address.
Result<tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint);

/// Opens a listening socket with SO_REUSEADDR and SO_REUSEPORT.
Result<tcp::acceptor> Listen(asio::io_context& context,
                             const Endpoint& endpoint);

/// Makes closing a connection reset it, also when the process ends: what the
/// operating system still holds for sending is then discarded, whereas it would
/// otherwise deliver it, perhaps much later. @return whether that succeeded
bool ResetOnClose(tcp::socket& socket);

}  // namespace cowslipknot
