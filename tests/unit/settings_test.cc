#include "cowslipknot/settings.h"

#include <fstream>
#include <set>
#include <sstream>

#include "coordination/configuration_manager.h"
#include "cowslipknot/events.h"
#include "unit_test.h"

using namespace cowslipknot;

namespace {

std::string ReadSource(const std::string& path) {
  std::ifstream file(std::string(SOURCE_DIR) + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string EncodedRevision(std::uint64_t revision) {
  Configuration configuration;
  configuration.revision = Revision(revision);
  return EncodeConfiguration(configuration);
}

/// Passes revisions to a configuration manager in the given order.
/// @return the revisions that came into force, in order
std::vector<std::uint64_t> InstallRevisions(
    const Settings& settings, const std::vector<std::uint64_t>& revisions) {
  asio::io_context context;
  const auto http = HttpClient::Create(context.get_executor(), ByteCount(1000));
  PlatformClient platform(http, Endpoint(), Milliseconds(1));
  RowWriter rows(context.get_executor(), platform, Milliseconds(1));
  std::vector<std::uint64_t> in_force;
  ConfigurationManager* manager_pointer = nullptr;
  ConfigurationManager manager(settings, platform, rows, [&] {
    in_force.push_back(manager_pointer->CurrentRevision().Count());
  });
  manager_pointer = &manager;
  for (const auto revision : revisions)
    manager.InstallIfNewer(EncodedRevision(revision));
  return in_force;
}

}  // namespace

Test(settings, example_files_are_valid) {
  const auto settings =
      ParseSettings(ReadSource("examples/entry.toml"), "entry.toml");
  cr_assert(settings.has_value());
  cr_expect_eq(settings->callers.port, 8080);
  for (const auto* file : {"steigervergunning", "plumecraft"}) {
    const std::string path = std::string("examples/") + file + ".toml";
    cr_expect(ParseObjects(ReadSource(path), path).has_value());
  }
}

Test(settings, each_error_gives_one_line_and_all_are_reported) {
  const auto settings = ParseSettings(
      "[node]\nname = \"a\"\ndomian = \"d\"\n[listen]\ncallers = \"x\"\n"
      "operators = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n[platform]\n"
      "address = \"127.0.0.1:4\"\npoll_ms = -1\n[peers]\nseeds = [\"h:1\"]\n"
      "token = \"long enough\"\n[operators]\ntoken = \"short\"\n",
      "f");
  cr_assert_not(settings.has_value());
  // Errors: domain missing, domian unknown, callers, poll_ms, seed, token.
  cr_expect_eq(settings.error().size(), 6u);
}

Test(configuration, the_revision_never_decreases_whatever_the_arrival_order) {
  const auto in_force = InstallRevisions(Settings(), {3, 1, 4, 4, 2, 5, 3});
  const std::vector<std::uint64_t> expected = {3, 4, 5};
  cr_expect(in_force == expected);
}

Test(configuration,
     without_the_revision_check_an_older_configuration_replaces_a_newer_one) {
  Settings settings;
  settings.disabled = {"revision"};
  const auto in_force = InstallRevisions(settings, {3, 1, 4});
  const std::vector<std::uint64_t> expected = {3, 1, 4};
  cr_expect(in_force == expected);
}

Test(configuration,
     an_unreadable_configuration_leaves_the_current_one_in_force) {
  asio::io_context context;
  const Settings settings;
  const auto http = HttpClient::Create(context.get_executor(), ByteCount(1000));
  PlatformClient platform(http, Endpoint(), Milliseconds(1));
  RowWriter rows(context.get_executor(), platform, Milliseconds(1));
  ConfigurationManager manager(settings, platform, rows, [] {});
  manager.InstallIfNewer(EncodedRevision(2));
  for (const auto* bad : {"", "{}", "{\"revision\":9}"}) {
    cr_expect_not(manager.InstallIfNewer(bad).has_value());
  }
  cr_expect_eq(manager.CurrentRevision().Count(), 2u);
}

Test(docs, every_result_code_and_event_is_in_its_catalogue) {
  const std::string codes = ReadSource("docs/result_codes.md");
  for (const auto& row : ResultCodeTable()) {
    const std::string line = "| " + std::to_string(static_cast<int>(row.code)) +
                             " | " + std::string(row.name) + " |";
    cr_expect(codes.find(line) != std::string::npos, "%s", line.c_str());
  }
  const std::string events = ReadSource("docs/events.md");
  for (const auto& row : EventTable()) {
    const std::string line = "| " +
                             std::to_string(static_cast<int>(row.event)) +
                             " | " + std::string(row.name) + " |";
    cr_expect(events.find(line) != std::string::npos, "%s", line.c_str());
  }
}

// Guards against an event that is logged under the name of another one.
Test(docs, each_event_and_result_code_has_its_own_number) {
  std::set<Event> events;
  for (const auto& row : EventTable())
    cr_expect(events.insert(row.event).second, "%s", row.name.data());
  std::set<ResultCode> codes;
  for (const auto& row : ResultCodeTable())
    cr_expect(codes.insert(row.code).second, "%s", row.name.data());
}
