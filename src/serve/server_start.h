#pragma once

#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "cowslipknot/result.h"

namespace cowslipknot {

/// Returned in place of an exit code if the start is to begin again with the
/// settings as they are now.
inline constexpr int kReadSettingsAgain = -1;

/// Calls `open` until it succeeds, as long as it fails with
/// kAddressUnavailable; `close` is called after each failure. Waits without
/// end, with log events, since a process that ends at once takes longer to
/// return.
/// @param settings_path  file whose change ends the wait
/// @return the process's exit code if it must end: 0 after a stop signal, 3
///         after an error that waiting does not heal; or kReadSettingsAgain
std::optional<int> OpenWhenAvailable(const std::function<Result<void>()>& open,
                                     const std::function<void()>& close,
                                     const std::string& settings_path);

/// Starts a thread. Ends the process with a log line and exit code 7 if the
/// system has none.
std::thread StartThread(std::function<void()> run);

}  // namespace cowslipknot
