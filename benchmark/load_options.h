#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"

namespace cowslipknot::load {

/// What the load tool was asked to do.
struct LoadOptions {
  std::vector<Endpoint> targets;
  double rate = 20;  ///< arrivals a second
  double seconds = 5;
  std::uint64_t seed = 1;
  std::string api_key = "key-clerks";
  std::string history;   ///< file for the history checker
  double letters = 0.5;  ///< share of interactive streams
  double drafts = 0.2;   ///< share of patient whole answers
  double filings = 0.1;  ///< share of calls that may not be repeated
  double lookups = 0.2;  ///< share of idempotent plain calls
  double doubled = 0.2;  ///< share of filings sent twice at once
  std::string letter_model = "neighbour-letter";
  std::string draft_model = "notice-draft";
  std::uint64_t letter_tokens = 20;
  std::uint64_t draft_tokens = 60;
  std::uint64_t prompt_chars = 1500;
  std::uint64_t prefixes = 8;  ///< distinct prompt beginnings
  bool direct = false;         ///< targets are engines
  bool reuse = false;          ///< keep connections
  Milliseconds patience{60000};
  Milliseconds target{1400};  ///< first token
};

/// Parses "--name value" options; writes what is wrong to stderr.
std::optional<LoadOptions> ParseLoadOptions(int argc, char** argv);

}  // namespace cowslipknot::load
