#pragma once

#include <optional>
#include <string>

#include "cowslipknot/result.h"
#include "serve/signal_loop.h"

namespace cowslipknot {

/// Reads the settings file of a server. A file that is missing or invalid is
/// read again for a few seconds, since it may be being replaced. Log events
/// say what it waits for, and what ends the start.
/// @param text  receives what was read last
/// @return the exit code if the process must end after a stop signal
std::optional<int> ReadServerSettings(const std::string& path,
                                      const SettingsCheck& check,
                                      Result<std::string>& text);

}  // namespace cowslipknot
