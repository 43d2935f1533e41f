#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

namespace cowslipknot {

enum class OutputFormat : std::uint8_t { kTable, kJson };

/// The command line, taken apart.
struct Options {
  std::string command;
  std::vector<std::string> arguments;
  std::string config;
  std::string server;  ///< host:port of an instance's operator listener
  std::string token;
  OutputFormat output = OutputFormat::kTable;
  Milliseconds wait{10000};
  bool check = false;
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

/// Parses the command line; COWSLIPKNOT_SERVER and COWSLIPKNOT_TOKEN stand in
/// for their options. Writes what is wrong to stderr.
std::optional<Options> ParseOptions(int argc, char** argv);

}  // namespace cowslipknot
