#pragma once

#include "cli/options.h"
#include "serve/gateway.h"

namespace cowslipknot {

/// Runs one command.
/// @param make_adapter  makes the adapter to the outer platform, which the
///                      commands `gateway` and `fleet` use
/// @return the process's exit code
int RunCommand(const Options& options,
               const gateway::PlatformAdapterFactory& make_adapter);

}  // namespace cowslipknot
