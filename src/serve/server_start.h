#pragma once

#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "cowslipknot/result.h"

namespace cowslipknot {

/// Calls `open` until it succeeds, as long as it fails with
/// kAddressUnavailable; `close` is called after each failure. Waits without
/// end, with log events, since a process that ends at once takes longer to
/// return.
/// @return the process's exit code if it must end: 0 after a stop signal, 3
///         after an error that waiting does not heal
std::optional<int> OpenWhenAvailable(const std::function<Result<void>()>& open,
                                     const std::function<void()>& close);

/// Starts a thread. Ends the process with a log line and exit code 7 if the
/// system has none.
std::thread StartThread(std::function<void()> run);

}  // namespace cowslipknot
