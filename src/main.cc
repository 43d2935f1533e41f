#include "cli/commands.h"
#include "cli/options.h"
#include "platform/client.h"

int main(int argc, char** argv) {
  const auto options = cowslipknot::ParseOptions(argc, argv);
  if (!options) return cowslipknot::kExitUsage;
  return cowslipknot::RunCommand(*options,
                                 cowslipknot::platform::MakePlatformAdapter);
}
