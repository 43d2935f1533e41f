#include "cli/commands.h"
#include "cli/options.h"

int main(int argc, char** argv) {
  const auto options = cowslipknot::ParseOptions(argc, argv);
  if (!options) return cowslipknot::kExitUsage;
  return cowslipknot::RunCommand(*options);
}
