#pragma once

#include "cli/options.h"

namespace cowslipknot {

/// Runs one command. @return the process's exit code
int RunCommand(const Options& options);

}  // namespace cowslipknot
