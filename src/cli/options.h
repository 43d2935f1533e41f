#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

namespace cowslipknot {

enum class OutputFormat : std::uint8_t { kTable, kJson };

/// The parsed command line.
struct Options {
  std::string command;
  std::vector<std::string> arguments;
  std::string config;
  std::string server;  ///< host:port of an instance's operator listener
  std::string token;
  OutputFormat output = OutputFormat::kTable;
  Milliseconds wait_timeout{10000};  ///< for a revision or a move
  bool check = false;
  bool end = false;  ///< of an evacuation
  bool yes = false;
  bool help = false;
  bool version = false;
};

/// Exit codes of all commands; docs/operating.md lists them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitInvalid = 3,
  kExitConflict = 4,
  kExitNotInForce = 5,
  kExitUnreachable = 6,
};

/// Parses the command line. The environment variables COWSLIPKNOT_SERVER and
/// COWSLIPKNOT_TOKEN are the defaults of --server and --token.
/// @return nothing when an option is invalid; the error is printed to stderr
std::optional<Options> ParseOptions(int argc, char** argv);

}  // namespace cowslipknot
