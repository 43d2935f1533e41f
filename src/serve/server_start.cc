#include "serve/server_start.h"

#include "base/clock.h"
#include "base/process_signals.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr int kExitStopped = 0;
constexpr int kExitListenFailed = 3;
constexpr Milliseconds kOpenRetryDelay(200);
constexpr Milliseconds kWaitLogInterval(10000);

}  // namespace

std::optional<int> OpenWhenAvailable(const std::function<Result<void>()>& open,
                                     const std::function<void()>& close) {
  std::optional<SteadyClock::time_point> logged_at;
  Milliseconds delay(0);
  while (true) {
    if (const auto signal = WaitForStopSignal(delay)) {
      LogEvent(Event::kStopped, {{"reason", DescribeSignal(*signal)}});
      return kExitStopped;
    }
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

}  // namespace cowslipknot
