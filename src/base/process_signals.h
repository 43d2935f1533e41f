#pragma once

#include <csignal>
#include <cstdint>
#include <optional>
#include <string>

#include "cowslipknot/ids.h"

/// Signals that are messages: they ask a process to stop, to reload or tell it
/// of a timer, and end it unless it handles them.
namespace cowslipknot {

/// A signal that was received.
struct ReceivedSignal {
  int number = 0;
  std::int64_t sender = 0;  ///< process that sent it; 0 for the kernel
};

/// The signals that are messages to a server, once it is prepared: without
/// those that report a fault of the process, ask for a core dump (SIGQUIT) or
/// belong to the C library, and real-time signals for which another library or
/// tool has a handler.
sigset_t MessageSignals();

/// Blocks the standard message signals, so that they stay pending until a
/// server reads them. Threads inherit this. May run before static constructors.
void BlockMessageSignals();

/// Restores the signal mask from before BlockMessageSignals(), for commands
/// that keep the default actions.
void RestoreSignalMask();

/// Prepares a server: write errors and limits are reported by the system call
/// instead of a signal, and no message signal is ignored, whatever the parent
/// process left behind.
void PrepareServerSignals();

/// Whether a signal asks the process to stop.
bool IsStopSignal(int number);

/// Takes a pending stop signal, or waits for one. For the time before the event
/// loop runs.
std::optional<ReceivedSignal> WaitForStopSignal(Milliseconds timeout);

/// For logs, for example "SIGTERM from process 1".
std::string DescribeSignal(const ReceivedSignal& signal);

/// For logs, for example "SIGTERM".
std::string SignalName(int number);

}  // namespace cowslipknot
