#include "protocol/server_notices.h"

namespace cowslipknot {

ServerNotices DecodeServerNotices(const http::response_header<>& header,
                                  std::string_view id) {
  ServerNotices notices;
  const std::string_view answered = header["X-Request-Id"];
  if (!answered.empty() && answered != id) return notices;
  notices.is_leaving = header.find("X-Leaving") != header.end();
  return notices;
}

}  // namespace cowslipknot
