#pragma once

#include <cstdint>

/// Decides from the header of a backend server's response whether it answers a
/// request, and what it is used for.
namespace cowslipknot::gateway {

/// Whose response the request id in its header says it is.
enum class ResponseId : std::uint8_t {
  kAbsent,
  kOwn,    ///< of the request that waits on the connection
  kOther,  ///< of another request
};

/// Whether a response answers the request that waits on its connection. A
/// server may repeat an earlier response there, so a response without an id
/// counts only if no other request has used the connection.
bool IsOwnResponse(ResponseId id, bool reused_connection);

}  // namespace cowslipknot::gateway
