#include "load_options.h"

#include <getopt.h>

#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "base/endpoint_text.h"

namespace cowslipknot::load {
namespace {

using OptionParser = std::function<void(const std::string&)>;

OptionParser NumberParser(double& field) {
  return [&field](const std::string& text) { field = std::stod(text); };
}

OptionParser UnsignedParser(std::uint64_t& field) {
  return [&field](const std::string& text) { field = std::stoull(text); };
}

OptionParser TextParser(std::string& field) {
  return [&field](const std::string& text) { field = text; };
}

OptionParser YesNoParser(bool& field) {
  return [&field](const std::string& text) { field = text == "yes"; };
}

OptionParser MillisecondsParser(Milliseconds& field) {
  return [&field](const std::string& text) {
    field = Milliseconds(std::stoll(text));
  };
}

OptionParser EndpointsParser(std::vector<Endpoint>& field) {
  return [&field](const std::string& text) {
    std::istringstream list(text);
    std::string item;
    while (std::getline(list, item, ',')) {
      const auto endpoint = ParseEndpointText(item);
      if (!endpoint) throw std::invalid_argument(endpoint.error().detail);
      field.push_back(*endpoint);
    }
  };
}

std::map<std::string, OptionParser> OptionParsers(LoadOptions& options) {
  return {{"targets", EndpointsParser(options.targets)},
          {"rate", NumberParser(options.arrivals_per_s)},
          {"seconds", NumberParser(options.duration_s)},
          {"seed", UnsignedParser(options.seed)},
          {"api-key", TextParser(options.api_key)},
          {"history", TextParser(options.history_path)},
          {"letters", NumberParser(options.letter_share)},
          {"drafts", NumberParser(options.draft_share)},
          {"filings", NumberParser(options.filing_share)},
          {"lookups", NumberParser(options.lookup_share)},
          {"doubled", NumberParser(options.duplicate_filing_share)},
          {"letter-model", TextParser(options.letter_model)},
          {"draft-model", TextParser(options.draft_model)},
          {"letter-tokens", UnsignedParser(options.letter_tokens)},
          {"draft-tokens", UnsignedParser(options.draft_tokens)},
          {"prompt-chars", UnsignedParser(options.prompt_chars)},
          {"prefixes", UnsignedParser(options.prompt_prefixes)},
          {"direct", YesNoParser(options.targets_are_engines)},
          {"reuse", YesNoParser(options.reuse_connections)},
          {"patience-ms", MillisecondsParser(options.model_request_timeout)},
          {"target-ms", MillisecondsParser(options.first_token_target)}};
}

}  // namespace

std::optional<LoadOptions> ParseLoadOptions(int argc, char** argv) {
  LoadOptions options;
  const auto parsers = OptionParsers(options);
  std::vector<option> long_options;
  long_options.reserve(parsers.size() + 1);
  for (const auto& [name, parser] : parsers) {
    long_options.push_back({name.c_str(), required_argument, nullptr, 0});
  }
  long_options.push_back({nullptr, 0, nullptr, 0});
  int index = 0;
  while (true) {
    const int found = getopt_long(argc, argv, "", long_options.data(), &index);
    if (found == -1) break;
    if (found != 0) return std::nullopt;
    const std::string name = long_options.at(index).name;
    try {
      parsers.at(name)(optarg);
    } catch (const std::exception& error) {
      std::cerr << "--" << name << ": " << error.what() << "\n";
      return std::nullopt;
    }
  }
  if (options.targets.empty()) {
    std::cerr << "--targets HOST:PORT[,HOST:PORT] is required\n";
    return std::nullopt;
  }
  return options;
}

}  // namespace cowslipknot::load
