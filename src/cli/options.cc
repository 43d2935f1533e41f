#include "cli/options.h"

#include <getopt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace cowslipknot {
namespace {

enum LongOption : int {
  kConfig = 1000,
  kServer,
  kToken,
  kOutput,
  kWait,
  kCheck,
  kEnd,
  kYes,
  kHelp,
  kVersion,
};

constexpr option kLongOptions[] = {
    {"config", required_argument, nullptr, kConfig},
    {"server", required_argument, nullptr, kServer},
    {"token", required_argument, nullptr, kToken},
    {"output", required_argument, nullptr, kOutput},
    {"wait-ms", required_argument, nullptr, kWait},
    {"check", no_argument, nullptr, kCheck},
    {"end", no_argument, nullptr, kEnd},
    {"yes", no_argument, nullptr, kYes},
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {nullptr, 0, nullptr, 0},
};

std::string ReadEnvironment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

bool ParseWaitTimeout(const std::string& text, Options& options) {
  int count = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, count);
  options.wait_timeout = Milliseconds(count);
  const bool valid = error == std::errc() && stop == end && count >= 0;
  if (!valid) std::cerr << "--wait-ms requires a non-negative integer\n";
  return valid;
}

bool ParseOutputFormat(const std::string& text, Options& options) {
  if (text == "json") options.output = OutputFormat::kJson;
  const bool valid = text == "json" || text == "table";
  if (!valid) std::cerr << "--output must be 'table' or 'json'\n";
  return valid;
}

bool ApplyOption(int option_id, Options& options) {
  switch (option_id) {
    case kConfig:
      options.config = optarg;
      return true;
    case kServer:
      options.server = optarg;
      return true;
    case kToken:
      options.token = optarg;
      return true;
    case kOutput:
      return ParseOutputFormat(optarg, options);
    case kWait:
      return ParseWaitTimeout(optarg, options);
    case kCheck:
      options.check = true;
      return true;
    case kEnd:
      options.end = true;
      return true;
    case kYes:
      options.yes = true;
      return true;
    case kHelp:
      options.help = true;
      return true;
    case kVersion:
      options.version = true;
      return true;
    default:
      return false;  // getopt_long has already printed the error.
  }
}

}  // namespace

std::optional<Options> ParseOptions(int argc, char** argv) {
  Options options;
  options.server = ReadEnvironment("COWSLIPKNOT_SERVER");
  options.token = ReadEnvironment("COWSLIPKNOT_TOKEN");
  while (true) {
    const int option_id = getopt_long(argc, argv, "", kLongOptions, nullptr);
    if (option_id == -1) break;
    if (!ApplyOption(option_id, options)) return std::nullopt;
  }
  for (int i = optind; i < argc; ++i) {
    if (options.command.empty()) {
      options.command = argv[i];
    } else {
      options.arguments.emplace_back(argv[i]);
    }
  }
  return options;
}

}  // namespace cowslipknot
