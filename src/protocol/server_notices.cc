#include "protocol/server_notices.h"

#include <charconv>
#include <limits>

namespace cowslipknot {
namespace {

/// @return none if there is no such field or the status is another
std::optional<double> ParseRetryAfter(const http::response_header<>& header) {
  const auto field = header.find(http::field::retry_after);
  if (header.result() != http::status::service_unavailable ||
      field == header.end()) {
    return std::nullopt;
  }
  const std::string_view text = field->value();
  double seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size())
    return std::numeric_limits<double>::quiet_NaN();
  return seconds;
}

}  // namespace

ServerNotices DecodeServerNotices(const http::response_header<>& header,
                                  std::string_view id) {
  ServerNotices notices;
  const std::string_view answered = header["X-Request-Id"];
  if (!answered.empty() && answered != id) return notices;
  notices.is_leaving = header.find("X-Leaving") != header.end();
  notices.retry_after_s = ParseRetryAfter(header);
  return notices;
}

}  // namespace cowslipknot
