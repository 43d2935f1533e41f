#include "serve/server_start.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>
#include <utility>

#include "base/clock.h"
#include "base/last_words.h"
#include "base/process_signals.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitListenFailed = 3;
constexpr Milliseconds kOpenRetryDelay(200);
constexpr Milliseconds kWaitLogInterval(10000);

/// When a file was last written, as far as that can be told.
std::filesystem::file_time_type LastChange(const std::string& path) {
  std::error_code error;
  const auto time = std::filesystem::last_write_time(path, error);
  return error ? std::filesystem::file_time_type() : time;
}

}  // namespace

std::optional<int> OpenWhenAvailable(const std::function<Result<void>()>& open,
                                     const std::function<void()>& close,
                                     const std::string& settings_path) {
  const auto read_at = LastChange(settings_path);
  std::optional<SteadyClock::time_point> logged_at;
  Milliseconds delay(0);
  while (true) {
    if (const auto signal = WaitForStopSignal(delay)) {
      LogEvent(Event::kStopped, {{"reason", DescribeSignal(*signal)}});
      return kExitStopped;
    }
    if (LastChange(settings_path) != read_at) return kReadSettingsAgain;
    const auto opened = open();
    if (opened) return std::nullopt;
    close();
    const Error& error = opened.error();
    if (error.code != ResultCode::kAddressUnavailable) {
      LogEvent(Event::kStartFailed, {{"detail", error.detail}});
      return kExitListenFailed;
    }
    if (!logged_at || ElapsedSince(*logged_at) >= kWaitLogInterval) {
      LogEvent(Event::kStartWaiting, {{"detail", error.detail}});
      logged_at = SteadyClock::now();
    }
    delay = kOpenRetryDelay;
  }
}

std::thread StartThread(std::function<void()> run) {
  try {
    return std::thread(std::move(run));
  } catch (const std::system_error& error) {
    LogEvent(
        Event::kStartFailed,
        {{"detail", std::string("cannot start a thread: ") + error.what()}});
  }
  // Threads that already run use objects that unwinding would destroy.
  std::quick_exit(kExitNoThread);
}

}  // namespace cowslipknot
