#pragma once

#include <string>

#include "cowslipknot/settings.h"

namespace cowslipknot {

/// Runs an entry instance until it has drained after SIGTERM, SIGINT, an
/// operator's drain command or an announced reclaim.
/// @param path  settings file, validated again on SIGHUP
/// @return the process's exit code
int Serve(const Settings& settings, const std::string& path);

}  // namespace cowslipknot
