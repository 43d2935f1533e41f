#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

/// Claims on requests that may run at most once.
///
/// A claim is a row of the table service, inserted on condition that no row
/// with its key exists, before the request's first byte leaves. Only the
/// attempt whose token the row holds may run the request.
namespace cowslipknot {

enum class ClaimState : std::uint8_t { kClaimed, kDone, kOutcomeUnknown };

struct Claim {
  std::string key;          ///< workspace and idempotency key
  std::string token;        ///< of the only attempt that may run
  std::string fingerprint;  ///< of the request; guards against reused keys
  NodeId node;
  ClaimState state = ClaimState::kClaimed;
  std::uint32_t status = 0;  ///< HTTP status of the outcome
  std::string content_type;
  std::string body;
  bool body_kept = true;  ///< false when it was too long for a row
};

/// What a caller is told when its key has been claimed before.
enum class ClaimAnswer : std::uint8_t {
  kRun,     ///< the row is this attempt's own
  kReplay,  ///< answer with the recorded outcome
  kWait,    ///< another attempt runs
  kOutcomeUnknown,
  kKeyReused,
};

std::string ClaimKey(const WorkspaceId& workspace, std::string_view key);

std::string EncodeClaim(const Claim& claim);
std::optional<Claim> DecodeClaim(const std::string& key, std::string_view text);

/// Decides what an attempt may do, given the row found under its key.
ClaimAnswer JudgeClaim(const Claim& found, const Claim& wanted);

}  // namespace cowslipknot
