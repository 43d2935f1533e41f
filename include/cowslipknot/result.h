#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cowslipknot {

/// Result codes; their numbers do not change. docs/result_codes.md describes
/// them for operators.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  kMalformedRequest = 1001,
  kUnknownKey = 1002,
  kNoRoute = 1003,
  kBodyTooLarge = 1004,
  kMissingIdempotencyKey = 1005,
  kKeyReused = 1006,
  kUnknownRequest = 1007,
  kHeaderTooLarge = 1008,
  kOverLimit = 2001,
  kNoServer = 2002,
  kTargetUnreachable = 2003,
  kDraining = 2004,
  kNoConfiguration = 2005,
  kPlatformUnavailable = 2006,
  kDeadlinePassed = 2007,
  kPromptQuarantined = 2008,
  kMemoryExhausted = 2009,
  kDescriptorsExhausted = 2010,
  kConnectFailed = 3001,
  kBackendFailed = 3002,
  kBackendMalformed = 3003,
  kBackendTimeout = 3004,
  kOutcomeUnknown = 3005,
  kStillRunning = 3006,
  kBackendRefused = 3007,
  kInvalidObjects = 4001,
  kRevisionConflict = 4002,
  kLeaseLost = 4003,
  kInvalidSettings = 4004,
  kUnauthorized = 4005,
  kUnknownObject = 4006,
  kNotInForce = 4007,
  kMoveDecided = 4008,
  kHistoryLost = 4009,
  kAddressUnavailable = 4010,
  kUnknownDomain = 4011,
  kNotEvacuated = 4012,
  kPeerUnreachable = 5001,
  kBadFrame = 5002,
  kFrameTooLarge = 5003,
  kInternal = 9001,
};

/// Whether a failed request has run, or may have run, on a backend server.
enum class Execution : std::uint8_t { kNotRun, kUnknown, kRan };

/// One row of the result code table.
struct ResultCodeRow {
  ResultCode code;
  std::string_view name;
  std::uint16_t http_status;
  std::string_view message;
};

/// All rows, ordered by number.
std::span<const ResultCodeRow> ResultCodeTable();

/// Returns the row of a code. Cannot fail: each enumerator has a row.
const ResultCodeRow& Describe(ResultCode code);

/// A failure: its result code, and detail that the code's message lacks.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string detail;
  Execution execution = Execution::kNotRun;
};

template <class T>
using Result = tl::expected<T, Error>;

/// Makes a failed Result.
inline tl::unexpected<Error> Fail(ResultCode code, std::string detail = {},
                                  Execution execution = Execution::kNotRun) {
  return tl::make_unexpected(Error{code, std::move(detail), execution});
}

}  // namespace cowslipknot
