#include "cowslipknot/state/claim.h"

#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

}  // namespace

std::string ClaimKey(const WorkspaceId& workspace, std::string_view key) {
  return "claim/" + workspace.Text() + "/" + std::string(key);
}

std::string EncodeClaim(const Claim& claim) {
  const json::object encoded = {
      {"token", claim.token},      {"fingerprint", claim.fingerprint},
      {"node", claim.node.Text()}, {"state", static_cast<int>(claim.state)},
      {"status", claim.status},    {"content_type", claim.content_type},
      {"body", claim.body},        {"body_kept", claim.body_kept}};
  return json::serialize(encoded);
}

std::optional<Claim> DecodeClaim(const std::string& key,
                                 std::string_view text) {
  Claim claim;
  claim.key = key;
  try {
    const json::value parsed = json::parse(text);
    const json::object& encoded = parsed.as_object();
    claim.token = std::string(encoded.at("token").as_string());
    claim.fingerprint = std::string(encoded.at("fingerprint").as_string());
    claim.node = NodeId(std::string(encoded.at("node").as_string()));
    const auto state = encoded.at("state").to_number<std::uint8_t>();
    if (state > static_cast<std::uint8_t>(ClaimState::kOutcomeUnknown)) {
      return std::nullopt;
    }
    claim.state = static_cast<ClaimState>(state);
    claim.status = encoded.at("status").to_number<std::uint32_t>();
    claim.content_type = std::string(encoded.at("content_type").as_string());
    claim.body = std::string(encoded.at("body").as_string());
    claim.body_kept = encoded.at("body_kept").as_bool();
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return claim;
}

ClaimDecision DecideClaim(const Claim& found, const Claim& wanted) {
  if (found.token == wanted.token) return ClaimDecision::kRun;
  if (found.fingerprint != wanted.fingerprint) return ClaimDecision::kKeyReused;
  switch (found.state) {
    case ClaimState::kDone:
      return ClaimDecision::kReplay;
    case ClaimState::kOutcomeUnknown:
      return ClaimDecision::kOutcomeUnknown;
    case ClaimState::kClaimed:
      break;
  }
  return ClaimDecision::kWait;
}

}  // namespace cowslipknot
