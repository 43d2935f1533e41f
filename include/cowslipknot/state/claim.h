#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

/// Claims, which ensure that a request runs at most once.
///
/// A claim is a row of the table service. It is inserted before the first byte
/// of the request is sent, on condition that no row with its key exists. Only
/// the attempt whose token is in the row may run the request.
namespace cowslipknot {

enum class ClaimState : std::uint8_t { kClaimed, kDone, kOutcomeUnknown };

struct Claim {
  std::string key;          ///< workspace and idempotency key
  std::string token;        ///< identifies the only attempt that may run
  std::string fingerprint;  ///< hash of the request; detects a reused key
  NodeId node;
  ClaimState state = ClaimState::kClaimed;
  std::uint32_t status = 0;  ///< HTTP status of the outcome
  std::string content_type;
  std::string body;
  bool body_kept = true;  ///< false if the body was too long to store
};

/// How an attempt proceeds, given the claim stored under its key.
enum class ClaimDecision : std::uint8_t {
  kRun,     ///< the claim is this attempt's own; run the request
  kReplay,  ///< respond with the recorded outcome
  kWait,    ///< another attempt is running
  kOutcomeUnknown,
  kKeyReused,
};

std::string ClaimKey(const WorkspaceId& workspace, std::string_view key);

std::string EncodeClaim(const Claim& claim);
std::optional<Claim> DecodeClaim(const std::string& key, std::string_view text);

/// Decides how an attempt with the claim `wanted` proceeds, given the claim
/// `found` under its key.
ClaimDecision DecideClaim(const Claim& found, const Claim& wanted);

}  // namespace cowslipknot
