#include "cli/gateway_commands.h"

#include <iostream>

#include "cli/command_output.h"
#include "cli/print.h"
#include "cli/server_settings.h"
#include "cowslipknot/events.h"
#include "serve/fleet_status.h"
#include "serve/server_start.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

/// Parses the settings of a gateway. On failure, prints the problems and sets
/// `exit_code`.
std::optional<gateway::Settings> ParseGatewaySettings(
    const Options& options, const Result<std::string>& text, int& exit_code) {
  if (!text) {
    exit_code = PrintError(text.error());
    return std::nullopt;
  }
  auto settings = gateway::ParseSettings(*text, options.config);
  if (!settings) {
    exit_code = PrintProblems(settings.error());
    return std::nullopt;
  }
  return std::move(*settings);
}

int PrintMissingConfig(const Options& options) {
  return PrintUsageError(options.command + " requires --config FILE");
}

/// @return an exit code or kReadSettingsAgain
int ReadAndRunGateway(const Options& options,
                      const gateway::PlatformAdapterFactory& make_adapter) {
  auto text = ReadFile(options.config);
  if (!options.check) {
    StartLog({}, LogTarget::kStandardOutput);
    const auto check = [&options](const std::string& content) {
      const auto parsed = gateway::ParseSettings(content, options.config);
      return parsed ? std::vector<ObjectProblem>() : parsed.error();
    };
    const auto stopped = ReadServerSettings(options.config, check, text);
    if (stopped) return *stopped;
  }
  int exit_code = kExitOk;
  const auto settings = ParseGatewaySettings(options, text, exit_code);
  if (!settings) return exit_code;
  if (options.check) {
    std::cout << options.config << ": ok\n";
    return kExitOk;
  }
  return gateway::Serve(*settings, options.config, make_adapter);
}

}  // namespace

int RunFleet(const Options& options,
             const gateway::PlatformAdapterFactory& make_adapter) {
  if (options.config.empty()) return PrintMissingConfig(options);
  int exit_code = kExitOk;
  const auto settings =
      ParseGatewaySettings(options, ReadFile(options.config), exit_code);
  if (!settings) return exit_code;
  asio::io_context context;
  const auto adapter = make_adapter(context.get_executor(), *settings);
  Result<json::object> status = Fail(ResultCode::kPlatformUnavailable);
  auto read = [&]() -> Awaitable<void> {
    status = co_await gateway::ReadFleetStatus(*adapter);
  };
  Spawn(context.get_executor(), "read fleet status", read());
  context.run();
  if (!status) return PrintError(status.error());
  if (options.output == OutputFormat::kJson) {
    std::cout << json::serialize(*status) << "\n";
  } else {
    PrintFleetStatus(*status);
  }
  return kExitOk;
}

int RunGateway(const Options& options,
               const gateway::PlatformAdapterFactory& make_adapter) {
  if (options.config.empty()) return PrintMissingConfig(options);
  int exit_code = kReadSettingsAgain;
  while (exit_code == kReadSettingsAgain)
    exit_code = ReadAndRunGateway(options, make_adapter);
  return exit_code;
}

}  // namespace cowslipknot
