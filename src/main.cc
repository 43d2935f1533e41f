#include "base/process_signals.h"
#include "base/standard_descriptors.h"
#include "cli/commands.h"
#include "cli/options.h"
#include "platform/client.h"

namespace cowslipknot {
namespace {

void PrepareProcess() {
  BlockMessageSignals();
  OpenMissingStandardDescriptors();
}

/// Runs before the constructors of all libraries, so that a signal that arrives
/// while they run stays pending, and none of them opens a standard descriptor.
__attribute__((section(".preinit_array"),
               used)) void (*const kPrepareProcess)() = PrepareProcess;

bool RunsServer(const Options& options) {
  return options.command == "gateway" || options.command == "serve";
}

}  // namespace
}  // namespace cowslipknot

int main(int argc, char** argv) {
  const auto options = cowslipknot::ParseOptions(argc, argv);
  if (!options) return cowslipknot::kExitUsage;
  if (cowslipknot::RunsServer(*options)) {
    cowslipknot::PrepareServerSignals();
  } else {
    cowslipknot::RestoreSignalMask();
  }
  return cowslipknot::RunCommand(*options,
                                 cowslipknot::platform::MakePlatformAdapter);
}
