#pragma once

#include "cli/options.h"
#include "serve/gateway.h"

/// Commands for instances on a managed platform. Each returns the process's
/// exit code.
namespace cowslipknot {

/// Runs an instance, or with --check only validates its settings file.
int RunGateway(const Options& options,
               const gateway::PlatformAdapterFactory& make_adapter);

/// Prints the gateways, servers and moves recorded in the platform's store.
int RunFleet(const Options& options,
             const gateway::PlatformAdapterFactory& make_adapter);

}  // namespace cowslipknot
