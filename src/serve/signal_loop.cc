#include "serve/signal_loop.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include "base/process_signals.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

int OpenSignalDescriptor() {
  const sigset_t set = MessageSignals();
  const int descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  return descriptor;
}

void HandleSignal(const ReceivedSignal& signal, const SignalHooks& hooks) {
  if (signal.number == SIGHUP) {
    try {
      hooks.reload();
    } catch (const std::exception& error) {
      // The loop goes on, so that the process can be stopped.
      LogEvent(Event::kSettingsRejected, {{"detail", error.what()}});
    }
    return;
  }
  if (IsStopSignal(signal.number) && hooks.stop(DescribeSignal(signal))) return;
  LogEvent(Event::kSignalIgnored, {{"signal", DescribeSignal(signal)}});
}

Awaitable<void> ReadSignals(int signal_descriptor, SignalHooks hooks) {
  asio::posix::stream_descriptor descriptor(co_await asio::this_coro::executor,
                                            signal_descriptor);
  while (true) {
    const auto [error] = co_await descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read, kAsTuple);
    if (error) co_return;
    signalfd_siginfo info{};
    while (::read(descriptor.native_handle(), &info, sizeof info) ==
           static_cast<ssize_t>(sizeof info)) {
      HandleSignal(ReceivedSignal{static_cast<int>(info.ssi_signo),
                                  static_cast<std::int64_t>(info.ssi_pid)},
                   hooks);
    }
  }
}

}  // namespace

Awaitable<void> HandleSignals(SignalHooks hooks) {
  return ReadSignals(OpenSignalDescriptor(), std::move(hooks));
}

void ValidateSettingsFile(const std::string& path, const SettingsCheck& check) {
  std::error_code error;
  // Reading a pipe could block the event loop.
  if (!std::filesystem::is_regular_file(path, error)) {
    LogEvent(Event::kSettingsRejected,
             {{"detail", path + " is not a regular file"}});
    return;
  }
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  const auto problems = check(text.str());
  if (problems.empty()) {
    LogEvent(Event::kSettingsReloaded, {{"file", path}});
    return;
  }
  for (const auto& problem : problems) {
    LogEvent(Event::kSettingsRejected, {{"detail", FormatProblem(problem)}});
  }
}

}  // namespace cowslipknot
