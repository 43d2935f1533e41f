#pragma once

#include <string_view>

#include "transport/asio.h"

namespace cowslipknot {

/// What the head of a backend server's answer says of the server itself.
struct ServerNotices {
  bool is_leaving = false;
};

/// @param id  sent with the request; an answer that carries another one was
///            meant for another request and says nothing
ServerNotices DecodeServerNotices(const http::response_header<>& header,
                                  std::string_view id);

}  // namespace cowslipknot
