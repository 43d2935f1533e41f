#include "cli/gateway_commands.h"

#include <iostream>

#include "cli/command_output.h"
#include "cli/print.h"
#include "serve/fleet_status.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

/// Reads and validates the settings file of a gateway. On failure, prints the
/// problems and sets `exit_code`.
std::optional<gateway::Settings> LoadGatewaySettings(const Options& options,
                                                     int& exit_code) {
  if (options.config.empty()) {
    exit_code = PrintUsageError(options.command + " requires --config FILE");
    return std::nullopt;
  }
  const auto text = ReadFile(options.config);
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

}  // namespace

int RunFleet(const Options& options,
             const gateway::PlatformAdapterFactory& make_adapter) {
  int exit_code = kExitOk;
  const auto settings = LoadGatewaySettings(options, exit_code);
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
  int exit_code = kExitOk;
  const auto settings = LoadGatewaySettings(options, exit_code);
  if (!settings) return exit_code;
  if (options.check) {
    std::cout << options.config << ": ok\n";
    return kExitOk;
  }
  return gateway::Serve(*settings, options.config, make_adapter);
}

}  // namespace cowslipknot
