#pragma once

#include "cowslipknot/settings.h"

namespace cowslipknot {

/// Runs an entry instance until it has drained after SIGTERM, SIGINT, an
/// operator's drain command or an announced reclaim.
/// @return the process's exit code
int Serve(const Settings& settings);

}  // namespace cowslipknot
