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

struct ResponseHead {
  unsigned status = 0;
  bool is_signed = false;
  bool not_executed = false;
  bool may_hold_events = true;  ///< its content type does not exclude events
};

/// What the caller of a request is waiting for.
struct AwaitedResponse {
  bool is_stream = false;
  bool stream_begun = false;  ///< the caller has the head of a response
  bool is_repeatable = false;
};

enum class ResponseUse : std::uint8_t {
  kRefusal,   ///< the request was not executed
  kEvents,    ///< events are forwarded as they arrive
  kWhole,     ///< forwarded when its body is complete
  kUnusable,  ///< the attempt has failed
};

/// Only further events may follow in a stream that has begun. A status that
/// promises a caller that its request did not run is not forwarded unless the
/// server states this, since the caller would repeat the request.
ResponseUse ClassifyResponse(const ResponseHead& response,
                             const AwaitedResponse& awaited);

}  // namespace cowslipknot::gateway
