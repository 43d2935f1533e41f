#pragma once

#include "base/memory_budget.h"
#include "transport/asio.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Bytes that are read at once.
constexpr std::size_t kRequestReadBytes = 16 << 10;

/// Reads a whole request within the limits.
/// @param memory  takes the parts of header and body that exceed the ordinary
///                size
/// @return no_memory if there is none left for them
Awaitable<error_code> ReadRequest(
    beast::tcp_stream& stream, beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser,
    const HttpServerLimits& limits, MemoryReservation& memory);

}  // namespace cowslipknot
