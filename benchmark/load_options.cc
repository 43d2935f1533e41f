#include "load_options.h"

#include <getopt.h>

#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "base/endpoint_text.h"

namespace cowslipknot::load {
namespace {

using Setter = std::function<void(const std::string&)>;

Setter Number(double& field) {
  return [&field](const std::string& text) { field = std::stod(text); };
}

Setter Whole(std::uint64_t& field) {
  return [&field](const std::string& text) { field = std::stoull(text); };
}

Setter Text(std::string& field) {
  return [&field](const std::string& text) { field = text; };
}

Setter Flag(bool& field) {
  return [&field](const std::string& text) { field = text == "yes"; };
}

Setter Duration(Milliseconds& field) {
  return [&field](const std::string& text) {
    field = Milliseconds(std::stoll(text));
  };
}

Setter Endpoints(std::vector<Endpoint>& field) {
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

std::map<std::string, Setter> Setters(LoadOptions& options) {
  return {{"targets", Endpoints(options.targets)},
          {"rate", Number(options.rate)},
          {"seconds", Number(options.seconds)},
          {"seed", Whole(options.seed)},
          {"api-key", Text(options.api_key)},
          {"history", Text(options.history)},
          {"letters", Number(options.letters)},
          {"drafts", Number(options.drafts)},
          {"filings", Number(options.filings)},
          {"lookups", Number(options.lookups)},
          {"doubled", Number(options.doubled)},
          {"letter-model", Text(options.letter_model)},
          {"draft-model", Text(options.draft_model)},
          {"letter-tokens", Whole(options.letter_tokens)},
          {"draft-tokens", Whole(options.draft_tokens)},
          {"prompt-chars", Whole(options.prompt_chars)},
          {"prefixes", Whole(options.prefixes)},
          {"direct", Flag(options.direct)},
          {"reuse", Flag(options.reuse)},
          {"patience-ms", Duration(options.patience)},
          {"target-ms", Duration(options.target)}};
}

}  // namespace

std::optional<LoadOptions> ParseLoadOptions(int argc, char** argv) {
  LoadOptions options;
  const auto setters = Setters(options);
  std::vector<option> long_options;
  long_options.reserve(setters.size() + 1);
  for (const auto& [name, setter] : setters) {
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
      setters.at(name)(optarg);
    } catch (const std::exception& error) {
      std::cerr << "--" << name << ": " << error.what() << "\n";
      return std::nullopt;
    }
  }
  if (options.targets.empty()) {
    std::cerr << "--targets HOST:PORT[,HOST:PORT] is needed\n";
    return std::nullopt;
  }
  return options;
}

}  // namespace cowslipknot::load
