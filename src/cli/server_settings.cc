#include "cli/server_settings.h"

#include <filesystem>
#include <system_error>

#include "base/clock.h"
#include "base/process_signals.h"
#include "cli/command_output.h"
#include "cli/options.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kReadTimeout(3000);
constexpr Milliseconds kReadRetryDelay(100);

/// Returns the first problem, or an empty text.
std::string FindProblem(const Result<std::string>& text,
                        const SettingsCheck& check) {
  if (!text) return text.error().detail;
  const auto problems = check(*text);
  return problems.empty() ? std::string() : FormatProblem(problems.front());
}

/// A pipe can be read only once.
bool MayBeReplaced(const std::string& path) {
  std::error_code error;
  const auto status = std::filesystem::status(path, error);
  return !std::filesystem::exists(status) ||
         std::filesystem::is_regular_file(status);
}

}  // namespace

std::optional<int> ReadServerSettings(const std::string& path,
                                      const SettingsCheck& check,
                                      Result<std::string>& text) {
  const auto started = SteadyClock::now();
  bool logged = false;
  while (true) {
    text = ReadFile(path);
    const std::string problem = FindProblem(text, check);
    if (problem.empty()) return std::nullopt;
    if (ElapsedSince(started) >= kReadTimeout || !MayBeReplaced(path)) {
      LogEvent(Event::kStartFailed, {{"detail", problem}});
      return std::nullopt;
    }
    if (!logged) LogEvent(Event::kStartWaiting, {{"detail", problem}});
    logged = true;
    if (const auto signal = WaitForStopSignal(kReadRetryDelay)) {
      LogEvent(Event::kStopped, {{"reason", DescribeSignal(*signal)}});
      return kExitOk;
    }
  }
}

}  // namespace cowslipknot
