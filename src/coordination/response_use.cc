#include "cowslipknot/gateway/response_use.h"

namespace cowslipknot::gateway {
namespace {

constexpr unsigned kStatusOk = 200;

}  // namespace

bool IsOwnResponse(ResponseId id, bool reused_connection) {
  if (id == ResponseId::kAbsent) return !reused_connection;
  return id == ResponseId::kOwn;
}

ResponseUse ClassifyResponse(const ResponseHead& response,
                             const AwaitedResponse& awaited) {
  if (response.not_executed) return ResponseUse::kRefusal;
  if (!response.is_signed) return ResponseUse::kUnusable;
  const bool has_events = awaited.is_stream && response.status == kStatusOk;
  if (!awaited.stream_begun) {
    return has_events ? ResponseUse::kEvents : ResponseUse::kWhole;
  }
  return has_events && response.may_hold_events ? ResponseUse::kEvents
                                                : ResponseUse::kUnusable;
}

}  // namespace cowslipknot::gateway
