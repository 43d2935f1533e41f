#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cowslipknot/state/objects.h"
#include "transport/asio.h"

namespace cowslipknot {

/// What a server does on signals. The hooks run on the loop's executor.
struct SignalHooks {
  /// Called on SIGHUP.
  std::function<void()> reload;
  /// Called on SIGTERM and SIGINT, with the signal for the log. Returns false
  /// if the server was stopping already.
  std::function<bool(const std::string& signal)> stop;
};

/// Reads the message signals of the process until the executor's context ends;
/// those without a meaning are logged. A signal that was pending since before
/// the call is read first. Requires BlockMessageSignals(); throws
/// std::system_error without a descriptor.
Awaitable<void> HandleSignals(SignalHooks hooks);

/// Returns the problems of a settings file's text.
using SettingsCheck =
    std::function<std::vector<ObjectProblem>(const std::string& text)>;

/// Validates the settings file again and logs the result. Addresses and bounds
/// are fixed for the lifetime of the process, so a valid file takes effect only
/// at the next start.
void ValidateSettingsFile(const std::string& path, const SettingsCheck& check);

}  // namespace cowslipknot
