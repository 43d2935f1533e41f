#include "cowslipknot/result.h"

#include <algorithm>
#include <array>

namespace cowslipknot {
namespace {

constexpr auto kResultCodes = std::to_array<ResultCodeRow>({
    {ResultCode::kOk, "ok", 200, "done"},
    {ResultCode::kMalformedRequest, "malformed_request", 400,
     "the request could not be parsed"},
    {ResultCode::kUnknownKey, "unknown_key", 401, "the API key is not known"},
    {ResultCode::kNoRoute, "no_route", 404, "no route matches the request"},
    {ResultCode::kBodyTooLarge, "body_too_large", 413,
     "the request body exceeds the size limit"},
    {ResultCode::kMissingIdempotencyKey, "missing_idempotency_key", 400,
     "the route's requests run at most once and need an Idempotency-Key "
     "header"},
    {ResultCode::kKeyReused, "key_reused", 422,
     "the idempotency key was already used for a different request"},
    {ResultCode::kUnknownRequest, "unknown_request", 404,
     "no request with this id is known"},
    {ResultCode::kHeaderTooLarge, "header_too_large", 431,
     "the request header exceeds the size limit"},
    {ResultCode::kOverLimit, "over_limit", 429,
     "the workspace exceeds its share or limit"},
    {ResultCode::kNoServer, "no_server", 503,
     "no backend server accepts new requests"},
    {ResultCode::kTargetUnreachable, "target_unreachable", 503,
     "the route's latency target cannot be met now"},
    {ResultCode::kDraining, "draining", 503, "the instance is draining"},
    {ResultCode::kNoConfiguration, "no_configuration", 503,
     "no configuration has been received yet"},
    {ResultCode::kPlatformUnavailable, "platform_unavailable", 503,
     "the platform's table service cannot be reached"},
    {ResultCode::kDeadlinePassed, "deadline_passed", 504,
     "the deadline passed before the request was sent"},
    {ResultCode::kPromptQuarantined, "prompt_quarantined", 503,
     "the request, or a part of its prompt, crashed several backend servers"},
    {ResultCode::kMemoryExhausted, "memory_exhausted", 503,
     "the instance has no memory left for the request body"},
    {ResultCode::kDescriptorsExhausted, "descriptors_exhausted", 503,
     "the instance cannot open another connection to a backend server"},
    {ResultCode::kConnectFailed, "connect_failed", 502,
     "could not connect to a backend server"},
    {ResultCode::kBackendFailed, "backend_failed", 502,
     "the backend server failed"},
    {ResultCode::kBackendMalformed, "backend_malformed", 502,
     "the backend server's response could not be parsed"},
    {ResultCode::kBackendTimeout, "backend_timeout", 504,
     "the backend server did not respond in time"},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 504,
     "the request may have run; its outcome is not known"},
    {ResultCode::kStillRunning, "still_running", 409,
     "a request with this idempotency key is still running"},
    {ResultCode::kBackendRefused, "backend_refused", 503,
     "the backend server rejected the request without running it"},
    {ResultCode::kInvalidObjects, "invalid_objects", 422,
     "the object set has errors"},
    {ResultCode::kRevisionConflict, "revision_conflict", 409,
     "the configuration changed since it was read"},
    {ResultCode::kLeaseLost, "lease_lost", 409,
     "another instance holds the lease"},
    {ResultCode::kInvalidSettings, "invalid_settings", 400,
     "the settings have errors"},
    {ResultCode::kUnauthorized, "unauthorized", 401,
     "the operator token is not accepted"},
    {ResultCode::kUnknownObject, "unknown_object", 404, "no such object"},
    {ResultCode::kNotInForce, "not_in_force", 504,
     "the revision is not in force on every instance"},
    {ResultCode::kMoveDecided, "move_decided", 409,
     "the move has already completed or been rolled back"},
    {ResultCode::kHistoryLost, "history_lost", 410,
     "the store no longer has the requested changes"},
    {ResultCode::kAddressUnavailable, "address_unavailable", 503,
     "an address to listen on is not available at present"},
    {ResultCode::kUnknownDomain, "unknown_domain", 404,
     "the instance list has no such failure domain"},
    {ResultCode::kNotEvacuated, "not_evacuated", 409,
     "the failure domain is not evacuated"},
    {ResultCode::kPeerUnreachable, "peer_unreachable", 504,
     "the peer did not respond"},
    {ResultCode::kBadFrame, "bad_frame", 400, "a frame failed verification"},
    {ResultCode::kFrameTooLarge, "frame_too_large", 413,
     "a frame exceeds the size limit"},
    {ResultCode::kInternal, "internal", 500, "internal error"},
});

}  // namespace

std::span<const ResultCodeRow> ResultCodeTable() { return kResultCodes; }

const ResultCodeRow& Describe(ResultCode code) {
  const auto* row = std::find_if(
      kResultCodes.begin(), kResultCodes.end(),
      [code](const ResultCodeRow& entry) { return entry.code == code; });
  return row == kResultCodes.end() ? kResultCodes.back() : *row;
}

}  // namespace cowslipknot
