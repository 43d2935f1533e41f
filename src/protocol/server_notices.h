#pragma once

#include <optional>
#include <string_view>

#include "transport/asio.h"

namespace cowslipknot {

/// What the head of a backend server's answer says of the server itself.
struct ServerNotices {
  /// Whether the answer is to the request that was sent.
  bool answers_request = false;
  bool is_leaving = false;
  /// Time in seconds for which a server that answers 503 wants no request; as
  /// stated, NaN if it is not a number.
  std::optional<double> retry_after_s;
  /// Requests a second that the server takes from all instances together; as
  /// stated, NaN if it is not a number; none if the answer names no limit.
  std::optional<double> limit_per_s;
};

/// Whether an answer carries an id, and that of another request than `id`.
bool AnswersOtherRequest(const http::response_header<>& header,
                         std::string_view id);

/// @param id  sent with the request; an answer that carries another one was
///            meant for another request and says nothing
ServerNotices DecodeServerNotices(const http::response_header<>& header,
                                  std::string_view id);

}  // namespace cowslipknot
