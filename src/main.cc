#include <unistd.h>

#include <exception>
#include <string_view>

#include "base/last_words.h"
#include "base/process_signals.h"
#include "base/standard_descriptors.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "platform/client.h"

namespace cowslipknot {
namespace {

void PrepareProcess(int argc, char** argv, char**) {
  BlockMessageSignals();
  OpenMissingStandardDescriptors();
  const bool logs_to_output =
      argc > 1 && std::string_view(argv[1]) == "gateway";
  InstallLastWords(logs_to_output ? STDOUT_FILENO : STDERR_FILENO);
}

/// Runs before the constructors of all libraries, so that a signal that arrives
/// while they run stays pending, and none of them opens a standard descriptor.
__attribute__((section(".preinit_array"),
               used)) void (*const kPrepareProcess)(int, char**,
                                                    char**) = PrepareProcess;

bool RunsServer(const Options& options) {
  return options.command == "gateway" || options.command == "serve";
}

int Main(int argc, char** argv) {
  const auto options = ParseOptions(argc, argv);
  if (!options) return kExitUsage;
  if (RunsServer(*options)) {
    PrepareServerSignals();
  } else {
    RestoreSignalMask();
  }
  return RunCommand(*options, platform::MakePlatformAdapter);
}

}  // namespace
}  // namespace cowslipknot

int main(int argc, char** argv) {
  try {
    return cowslipknot::Main(argc, argv);
  } catch (const std::exception& error) {
    cowslipknot::WriteUnexpectedEnd("detail", error.what());
    return cowslipknot::ExceptionExitCode(error);
  }
}
