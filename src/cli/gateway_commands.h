#pragma once

#include "cli/options.h"
#include "serve/gateway.h"

/// Commands of the managed platform. Each returns the process's exit code.
namespace cowslipknot {

/// Runs an instance, or only checks its settings file.
int RunGateway(const Options& options,
               const gateway::DialectFactory& make_dialect);

/// Shows what the platform's store says of a fleet of gateways.
int RunFleet(const Options& options,
             const gateway::DialectFactory& make_dialect);

}  // namespace cowslipknot
