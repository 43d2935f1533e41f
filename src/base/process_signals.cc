#include "base/process_signals.h"

#include <string.h>
#include <time.h>

#include <chrono>

namespace cowslipknot {
namespace {

constexpr int kMessageSignals[] = {
    SIGTERM, SIGINT,  SIGHUP,    SIGUSR1, SIGUSR2, SIGALRM,
    SIGIO,   SIGPROF, SIGVTALRM, SIGXCPU, SIGPWR,  SIGSTKFLT,
};
/// Reported as errors of the system calls that cause them, or, for the last
/// two, without effect on a process that does not read from its terminal.
constexpr int kIgnoredSignals[] = {SIGPIPE, SIGXFSZ, SIGTTIN, SIGTTOU};

sigset_t g_initial_mask;
sigset_t g_server_signals;

/// Whether no library or tool that was loaded before uses a signal.
bool IsUnused(int number) {
  struct sigaction action {};
  return ::sigaction(number, nullptr, &action) == 0 &&
         (action.sa_handler == SIG_DFL || action.sa_handler == SIG_IGN);
}

sigset_t StandardMessageSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : kMessageSignals) sigaddset(&set, number);
  return set;
}

}  // namespace

sigset_t MessageSignals() { return g_server_signals; }

void BlockMessageSignals() {
  const sigset_t set = StandardMessageSignals();
  pthread_sigmask(SIG_BLOCK, &set, &g_initial_mask);
}

void RestoreSignalMask() {
  pthread_sigmask(SIG_SETMASK, &g_initial_mask, nullptr);
}

void PrepareServerSignals() {
  for (const int number : kIgnoredSignals) std::signal(number, SIG_IGN);
  for (const int number : kMessageSignals) std::signal(number, SIG_DFL);
  g_server_signals = StandardMessageSignals();
  for (int number = SIGRTMIN; number <= SIGRTMAX; ++number) {
    if (IsUnused(number)) sigaddset(&g_server_signals, number);
  }
  pthread_sigmask(SIG_SETMASK, &g_server_signals, nullptr);
}

bool IsStopSignal(int number) { return number == SIGTERM || number == SIGINT; }

std::optional<ReceivedSignal> WaitForStopSignal(Milliseconds timeout) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timespec limit{};
  limit.tv_sec = seconds.count();
  limit.tv_nsec = std::chrono::nanoseconds(timeout - seconds).count();
  siginfo_t info{};
  const int number = sigtimedwait(&set, &info, &limit);
  if (number < 0) return std::nullopt;
  return ReceivedSignal{number, info.si_pid};
}

std::string SignalName(int number) {
  const char* const name = sigabbrev_np(number);
  return "SIG" + (name == nullptr ? std::to_string(number) : std::string(name));
}

std::string DescribeSignal(const ReceivedSignal& signal) {
  if (signal.sender == 0) return SignalName(signal.number);
  return SignalName(signal.number) + " from process " +
         std::to_string(signal.sender);
}

}  // namespace cowslipknot
