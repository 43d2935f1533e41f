#include "protocol/server_notices.h"

#include <charconv>
#include <limits>

namespace cowslipknot {
namespace {

constexpr char kRequestId[] = "X-Request-Id";

/// @return NaN if the text is no number
double ParseNumber(std::string_view text) {
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size())
    return std::numeric_limits<double>::quiet_NaN();
  return number;
}

/// @return none if there is no such field or the status is another
std::optional<double> ParseRetryAfter(const http::response_header<>& header) {
  const auto field = header.find(http::field::retry_after);
  if (header.result() != http::status::service_unavailable ||
      field == header.end()) {
    return std::nullopt;
  }
  return ParseNumber(field->value());
}

std::optional<double> ParseLimit(const http::response_header<>& header) {
  const auto field = header.find("X-Limit");
  if (field == header.end()) return std::nullopt;
  return ParseNumber(field->value());
}

}  // namespace

bool AnswersOtherRequest(const http::response_header<>& header,
                         std::string_view id) {
  const std::string_view answered = header[kRequestId];
  return !answered.empty() && answered != id;
}

ServerNotices DecodeServerNotices(const http::response_header<>& header,
                                  std::string_view id) {
  ServerNotices notices;
  if (AnswersOtherRequest(header, id)) return notices;
  notices.answers_request = header[kRequestId] == id;
  notices.is_leaving = header.find("X-Leaving") != header.end();
  notices.retry_after_s = ParseRetryAfter(header);
  notices.limit_per_s = ParseLimit(header);
  return notices;
}

}  // namespace cowslipknot
