#include "cli/commands.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

#include "base/clock.h"
#include "cli/command_output.h"
#include "cli/gateway_commands.h"
#include "cli/operator_client.h"
#include "cli/print.h"
#include "cli/server_settings.h"
#include "cowslipknot/events.h"
#include "cowslipknot/settings.h"
#include "cowslipknot/state/objects.h"
#include "serve/serve.h"
#include "serve/server_start.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr Milliseconds kPollInterval(200);

bool Confirm(const Options& options, const std::string& question) {
  if (options.yes) return true;
  std::cerr << question << " [y/N] " << std::flush;
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

/// @return an exit code or kReadSettingsAgain
int ReadAndRunServe(const Options& options) {
  auto text = ReadFile(options.config);
  if (!options.check) {
    StartLog({});
    const auto check = [&options](const std::string& content) {
      const auto parsed = ParseSettings(content, options.config);
      return parsed ? std::vector<ObjectProblem>() : parsed.error();
    };
    const auto exit_code = ReadServerSettings(options.config, check, text);
    if (exit_code) return *exit_code;
  }
  if (!text) return PrintError(text.error());
  const auto settings = ParseSettings(*text, options.config);
  if (!settings) return PrintProblems(settings.error());
  if (options.check) {
    std::cout << options.config << ": ok\n";
    return kExitOk;
  }
  return Serve(*settings, options.config);
}

int RunServe(const Options& options) {
  if (options.config.empty()) {
    return PrintUsageError("serve requires --config FILE");
  }
  int exit_code = kReadSettingsAgain;
  while (exit_code == kReadSettingsAgain) exit_code = ReadAndRunServe(options);
  return exit_code;
}

/// Reads and validates the object file that the command names. On failure,
/// prints the problems and sets `exit_code`.
std::optional<std::string> LoadObjects(const Options& options, int& exit_code) {
  if (options.arguments.size() != 1) {
    exit_code = PrintUsageError(options.command + " requires exactly one FILE");
    return std::nullopt;
  }
  const std::string& path = options.arguments.front();
  auto text = ReadFile(path);
  if (!text) {
    exit_code = PrintError(text.error());
    return std::nullopt;
  }
  const auto objects = ParseObjects(*text, path);
  if (!objects) {
    exit_code = PrintProblems(objects.error());
    return std::nullopt;
  }
  return std::move(*text);
}

int RunCheck(const Options& options) {
  int exit_code = kExitOk;
  if (!LoadObjects(options, exit_code)) return exit_code;
  std::cout << options.arguments.front() << ": ok\n";
  return kExitOk;
}

int RunDiff(const Options& options) {
  int exit_code = kExitOk;
  const auto text = LoadObjects(options, exit_code);
  if (!text) return exit_code;
  OperatorClient client(options);
  const auto current = client.Get("/v1/objects");
  if (!current) return PrintError(current.error());
  PrintChanges(
      DiffObjects(std::string(current->at("objects").as_string()), *text));
  return kExitOk;
}

/// Waits until every live instance has `revision` or a newer one in force, at
/// most for the duration of --wait-ms.
int WaitUntilInForce(const Options& options, std::uint64_t revision) {
  OperatorClient client(options);
  const auto start = SteadyClock::now();
  while (true) {
    const auto status = client.Get("/v1/status");
    if (!status) return PrintError(status.error());
    std::size_t in_force = 0;
    std::string missing;
    const json::array& members = status->at("members").as_array();
    for (const auto& member : members) {
      if (member.at("revision").to_number<std::uint64_t>() >= revision) {
        ++in_force;
      } else {
        missing += " " + std::string(member.at("node").as_string());
      }
    }
    std::cerr << "revision " << revision << " in force on " << in_force
              << " of " << members.size() << " instances\n";
    if (in_force == members.size()) return kExitOk;
    if (ElapsedSince(start) >= options.wait_timeout) {
      return PrintError(
          Error{ResultCode::kNotInForce, "missing on:" + missing});
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int RunApply(const Options& options) {
  int exit_code = kExitOk;
  const auto text = LoadObjects(options, exit_code);
  if (!text) return exit_code;
  OperatorClient client(options);
  const auto current = client.Get("/v1/objects");
  if (!current) return PrintError(current.error());
  const std::string before(current->at("objects").as_string());
  const auto changes = DiffObjects(before, *text);
  PrintChanges(changes);
  const bool removes = std::any_of(
      changes.begin(), changes.end(), [](const ObjectChange& change) {
        return change.kind == ObjectChange::Kind::kRemoved;
      });
  if (removes && !Confirm(options, "Objects will be removed. Continue?")) {
    return kExitFailed;
  }
  json::object body;
  body["base_revision"] = current->at("revision");
  body["objects"] = *text;
  const auto applied = client.Post("/v1/objects", body);
  if (!applied && applied.error().code == ResultCode::kRevisionConflict) {
    const auto newer = client.Get("/v1/objects");
    if (newer) {
      std::cerr << "objects changed by another operator:\n";
      PrintChanges(
          DiffObjects(before, std::string(newer->at("objects").as_string())));
    }
  }
  if (!applied) return PrintError(applied.error());
  const auto revision = applied->at("revision").to_number<std::uint64_t>();
  std::cout << "accepted as revision " << revision << "\n";
  return WaitUntilInForce(options, revision);
}

int RunGet(const Options& options) {
  OperatorClient client(options);
  const auto current = client.Get("/v1/objects");
  if (!current) return PrintError(current.error());
  if (options.output == OutputFormat::kJson) {
    std::cout << json::serialize(*current) << "\n";
  } else {
    std::cout << "# revision " << current->at("revision") << "\n"
              << std::string(current->at("objects").as_string()) << "\n";
  }
  return kExitOk;
}

int RunDescribe(const Options& options) {
  if (options.arguments.size() != 2) {
    return PrintUsageError("describe requires KIND and NAME");
  }
  OperatorClient client(options);
  const auto current = client.Get("/v1/objects");
  if (!current) return PrintError(current.error());
  const std::string wanted = options.arguments[0] + " " + options.arguments[1];
  const auto text =
      FindObjectText(std::string(current->at("objects").as_string()), wanted);
  if (text.empty()) {
    return PrintError(Error{ResultCode::kUnknownObject, wanted});
  }
  std::cout << text << "\n";
  return kExitOk;
}

int RunStatus(const Options& options) {
  OperatorClient client(options);
  const auto status = client.Get("/v1/status");
  if (!status) return PrintError(status.error());
  if (options.output == OutputFormat::kJson) {
    std::cout << json::serialize(*status) << "\n";
  } else {
    PrintStatus(status->as_object());
  }
  return kExitOk;
}

int WatchMove(const Options& options, const std::string& name) {
  OperatorClient client(options);
  std::string last;
  const auto start = SteadyClock::now();
  while (true) {
    const auto status = client.Get("/v1/status");
    if (!status) return PrintError(status.error());
    const json::object* found = nullptr;
    for (const auto& move : status->at("moves").as_array()) {
      if (move.at("move").as_string() == name) found = &move.as_object();
    }
    if (found == nullptr) {
      return PrintError(Error{ResultCode::kUnknownObject, "move " + name});
    }
    const bool reachable = status->at("platform").as_string() == "reachable";
    const std::string line = DescribeMove(*found, reachable, NowWall());
    if (line != last) std::cout << line << std::endl;
    last = line;
    const std::string phase(found->at("phase").as_string());
    if (phase == "done") return kExitOk;
    if (phase == "taken_back") return kExitConflict;
    if (ElapsedSince(start) >= options.wait_timeout) return kExitNotInForce;
    std::this_thread::sleep_for(kPollInterval);
  }
}

int RunMove(const Options& options) {
  if (options.arguments.size() != 2) {
    return PrintUsageError(
        "move requires an action (start, watch or take-back) and NAME");
  }
  const std::string& action = options.arguments[0];
  const std::string& name = options.arguments[1];
  if (action == "watch") return WatchMove(options, name);
  if (action != "start" && action != "take-back") {
    return PrintUsageError("unknown move action '" + action + "'");
  }
  const bool confirmed =
      action == "start" || Confirm(options, "Take back move " + name + "?");
  if (!confirmed) return kExitFailed;
  OperatorClient client(options);
  const auto changed =
      client.Post("/v1/moves/" + name + "/" + action, json::object());
  if (!changed) return PrintError(changed.error());
  std::cout << "accepted as revision " << changed->at("revision") << "\n";
  return WaitUntilInForce(options,
                          changed->at("revision").to_number<std::uint64_t>());
}

int RunEvacuate(const Options& options) {
  if (options.arguments.size() != 1) {
    return PrintUsageError("evacuate requires DOMAIN");
  }
  const std::string& domain = options.arguments.front();
  const bool confirmed =
      options.end ||
      Confirm(options, "Send nothing more to the servers of " + domain + "?");
  if (!confirmed) return kExitFailed;
  OperatorClient client(options);
  json::object body;
  body["domain"] = domain;
  body["action"] = options.end ? "end" : "begin";
  const auto changed = client.Post("/v1/evacuations", body);
  if (!changed) return PrintError(changed.error());
  std::cout << "accepted as revision " << changed->at("revision") << "\n";
  return WaitUntilInForce(options,
                          changed->at("revision").to_number<std::uint64_t>());
}

int RunDrain(const Options& options) {
  if (!Confirm(options, "Stop the instance at " + options.server + "?")) {
    return kExitFailed;
  }
  OperatorClient client(options);
  const auto drained = client.Post("/v1/drain", json::object());
  if (!drained) return PrintError(drained.error());
  std::cout << "draining\n";
  return kExitOk;
}

int RunCodes(const Options&) {
  for (const auto& row : ResultCodeTable()) {
    std::cout << static_cast<int>(row.code) << " " << row.name << " "
              << row.http_status << " " << row.message << "\n";
  }
  return kExitOk;
}

int RunEvents(const Options&) {
  for (const auto& row : EventTable()) {
    std::cout << static_cast<int>(row.event) << " " << row.level << " "
              << row.name << " " << row.message << "\n";
  }
  return kExitOk;
}

struct Command {
  std::function<int(const Options&)> run;
  std::string help;
};

const std::map<std::string, Command>& Commands(
    const gateway::PlatformAdapterFactory& make_adapter) {
  static const std::map<std::string, Command> commands = {
      {"gateway",
       {[&make_adapter](const Options& options) {
          return RunGateway(options, make_adapter);
        },
        "--config FILE [--check]  run an instance on a managed platform"}},
      {"fleet",
       {[&make_adapter](const Options& options) {
          return RunFleet(options, make_adapter);
        },
        "--config FILE  show the gateways, servers and moves recorded in the "
        "platform's store"}},
      {"serve", {RunServe, "--config FILE [--check]  run an entry instance"}},
      {"check", {RunCheck, "FILE  validate an object file"}},
      {"diff",
       {RunDiff, "FILE  compare an object file with the objects in force"}},
      {"apply",
       {RunApply,
        "FILE  publish an object file and wait until it is in force"}},
      {"get", {RunGet, "print the objects in force"}},
      {"describe", {RunDescribe, "KIND NAME  print one object"}},
      {"status", {RunStatus, "show instances, servers and moves"}},
      {"move",
       {RunMove,
        "start|watch|take-back NAME  start, watch or take back a move"}},
      {"evacuate",
       {RunEvacuate,
        "DOMAIN [--end]  send nothing more to the servers of a failure domain, "
        "or end that"}},
      {"drain", {RunDrain, "stop the instance gracefully"}},
      {"codes", {RunCodes, "list result codes"}},
      {"events", {RunEvents, "list log events"}},
  };
  return commands;
}

int PrintHelp(const std::map<std::string, Command>& commands) {
  std::cout << "usage: cowslipknot COMMAND [OPTIONS]\n\n";
  for (const auto& [name, command] : commands) {
    std::cout << "  " << name << " " << command.help << "\n";
  }
  std::cout << "\noptions: --server HOST:PORT --token TOKEN "
               "--output table|json --wait-ms N\n"
               "         --yes --config FILE --check --end --help --version\n";
  return kExitOk;
}

}  // namespace

int RunCommand(const Options& options,
               const gateway::PlatformAdapterFactory& make_adapter) {
  const auto& commands = Commands(make_adapter);
  if (options.version) {
    std::cout << "cowslipknot " << COWSLIPKNOT_VERSION << "\n";
    return kExitOk;
  }
  const auto found = commands.find(options.command);
  if (options.help && found != commands.end()) {
    std::cout << "usage: cowslipknot " << found->first << " "
              << found->second.help << "\n";
    return kExitOk;
  }
  if (options.help) return PrintHelp(commands);
  if (options.command.empty()) return PrintUsageError("no command given");
  if (found == commands.end()) {
    std::vector<std::string> names;
    names.reserve(commands.size());
    for (const auto& [name, command] : commands) names.push_back(name);
    const std::string suggestion = SuggestName(options.command, names);
    return PrintUsageError(
        "unknown command '" + options.command + "'" +
        (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?"));
  }
  return found->second.run(options);
}

}  // namespace cowslipknot
