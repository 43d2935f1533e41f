#pragma once

#include "cli/options.h"
#include "serve/gateway.h"

namespace cowslipknot {

/// Runs one command. @return the process's exit code
/// @param make_dialect  adapter to the platform that `gateway` runs on
int RunCommand(const Options& options,
               const gateway::DialectFactory& make_dialect);

}  // namespace cowslipknot
