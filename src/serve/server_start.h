#pragma once

#include <functional>
#include <optional>

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

}  // namespace cowslipknot
