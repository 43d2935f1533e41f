#include "cowslipknot/gateway/response_use.h"

namespace cowslipknot::gateway {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusMisdirected = 421;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusUnavailable = 503;

/// Whether callers conclude from a status that the request did not run.
bool PromisesNotRun(unsigned status) {
  return status == kStatusRequestTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
}

}  // namespace

bool IsOwnResponse(ResponseId id, bool reused_connection) {
  if (id == ResponseId::kAbsent) return !reused_connection;
  return id == ResponseId::kOwn;
}

ResponseUse ClassifyResponse(const ResponseHead& response,
                             const AwaitedResponse& awaited) {
  if (response.not_executed) return ResponseUse::kRefusal;
  if (!response.is_signed) return ResponseUse::kUnusable;
  if (!awaited.is_repeatable && PromisesNotRun(response.status)) {
    return ResponseUse::kUnusable;
  }
  const bool has_events = awaited.is_stream && response.status == kStatusOk;
  if (!awaited.stream_begun) {
    return has_events ? ResponseUse::kEvents : ResponseUse::kWhole;
  }
  return has_events && response.may_hold_events ? ResponseUse::kEvents
                                                : ResponseUse::kUnusable;
}

}  // namespace cowslipknot::gateway
