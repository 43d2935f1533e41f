#pragma once

#include <exception>
#include <functional>
#include <string_view>

#include "base/metrics.h"
#include "transport/asio.h"

/// Starts coroutines, and runs the threads that they are on. An exception ends
/// neither the process nor a loop that it is to have for good, and is logged
/// with the name of what failed. Names must outlive the process's loops.
namespace cowslipknot {

/// Runs a context's handlers until it is stopped or has no more work. An
/// exception that leaves a handler is logged; the other handlers go on.
void RunEventLoop(asio::io_context& context, std::string_view name);

/// Starts a task that runs once. An exception that ends it is logged; one
/// thrown while it is started is the caller's.
/// @param on_failure  called on the executor if an exception ends the task, or
///                    leaves a handler that it waited for; may be empty
void Spawn(const asio::any_io_executor& executor, std::string_view name,
           Awaitable<void> task, std::function<void()> on_failure = nullptr);

/// Makes a loop's coroutine. Called again each time the loop is restarted, so
/// it must not be a coroutine with captures itself.
using LoopBody = std::function<Awaitable<void>()>;
/// Whether a loop may end; empty if it never may.
using LoopEnded = std::function<bool()>;

/// Starts a loop that lasts as long as the process. If it fails, ends without
/// being asked to, or is destroyed by an exception that left a handler it
/// waited for, that is logged, and the loop starts again after a delay.
void SpawnLoop(const asio::any_io_executor& executor, std::string_view name,
               LoopBody body, LoopEnded ended = nullptr);

/// The end of a loop that accepts connections: its listener is closed.
LoopEnded WhenClosed(std::shared_ptr<tcp::acceptor> acceptor);

/// Logs and counts the failure of a task that goes on or is replaced.
void RecordTaskFailure(std::string_view name,
                       const std::exception_ptr& failure) noexcept;

/// Adds the failures of the process so far: cowslipknot_loop_restarts_total,
/// cowslipknot_task_failures_total and cowslipknot_callback_failures_total.
/// Thread-safe.
void AddFailureCounts(MetricSet& metrics);

}  // namespace cowslipknot
