#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"

namespace cowslipknot::load {

/// Options of the load tool. Each share is relative to the sum of the letter,
/// draft, filing and lookup shares, unless stated otherwise.
struct LoadOptions {
  std::vector<Endpoint> targets;  ///< each call goes to a random one
  double arrivals_per_s = 20;
  double duration_s = 5;  ///< time during which requests arrive
  std::uint64_t seed = 1;
  std::string api_key = "key-clerks";
  std::string history_path;             ///< file for the history checker
  double letter_share = 0.5;            ///< interactive, streamed requests
  double draft_share = 0.2;             ///< patient requests, not streamed
  double filing_share = 0.1;            ///< non-idempotent calls
  double lookup_share = 0.2;            ///< idempotent calls
  double duplicate_filing_share = 0.2;  ///< of filings; sent twice concurrently
  std::string letter_model = "neighbour-letter";
  std::string draft_model = "notice-draft";
  std::uint64_t letter_tokens = 20;
  std::uint64_t draft_tokens = 60;
  std::uint64_t prompt_chars = 1500;
  std::uint64_t prompt_prefixes = 8;  ///< number of distinct prompt prefixes
  bool targets_are_engines = false;   ///< bypasses the entry instances
  bool reuse_connections = false;
  Milliseconds model_request_timeout{60000};  ///< over all attempts
  Milliseconds first_token_target{1400};
};

/// Parses "--name value" options.
/// @return nothing when an option is invalid; the error is printed to stderr
std::optional<LoadOptions> ParseLoadOptions(int argc, char** argv);

}  // namespace cowslipknot::load
