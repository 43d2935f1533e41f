#include "cli/print.h"

#include <toml++/toml.h>

#include <iomanip>
#include <iostream>
#include <sstream>

namespace cowslipknot {
namespace {

namespace json = boost::json;

std::string FormatCell(const json::value& value) {
  if (value.is_string()) return std::string(value.get_string());
  return json::serialize(value);
}

std::string FormatPercent(double share) {
  std::ostringstream text;
  text << std::setprecision(3) << share * 100 << "%";
  return text.str();
}

}  // namespace

void PrintTable(const json::array& rows,
                const std::vector<std::string>& columns) {
  std::vector<std::size_t> widths;
  for (const auto& column : columns) {
    std::size_t width = column.size();
    for (const auto& row : rows) {
      width = std::max(width, FormatCell(row.at(column)).size());
    }
    widths.push_back(width);
  }
  for (std::size_t i = 0; i < columns.size(); ++i) {
    std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
              << columns[i];
  }
  std::cout << "\n";
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < columns.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i]) + 2)
                << FormatCell(row.at(columns[i]));
    }
    std::cout << "\n";
  }
}

void PrintChanges(const std::vector<ObjectChange>& changes) {
  for (const auto& change : changes) {
    switch (change.kind) {
      case ObjectChange::Kind::kAdded:
        std::cout << "+ ";
        break;
      case ObjectChange::Kind::kRemoved:
        std::cout << "- ";
        break;
      case ObjectChange::Kind::kChanged:
        std::cout << "~ ";
        break;
    }
    std::cout << change.object << "\n";
  }
  if (changes.empty()) std::cout << "no changes\n";
}

void PrintStatus(const json::object& status) {
  std::cout << "instance " << FormatCell(status.at("node")) << "  revision "
            << FormatCell(status.at("revision")) << "  platform "
            << FormatCell(status.at("platform")) << "\n\n";
  PrintTable(status.at("members").as_array(),
             {"node", "domain", "status", "revision", "draining"});
  std::cout << "\n";
  PrintTable(status.at("servers").as_array(),
             {"server", "pool", "domain", "takes_new_work", "in_flight"});
  const json::array& evacuated = status.at("evacuated").as_array();
  if (!evacuated.empty()) {
    std::cout << "\nevacuated\n";
    PrintTable(evacuated, {"domain", "servers", "in_flight"});
  }
  const json::array& moves = status.at("moves").as_array();
  if (moves.empty()) return;
  std::cout << "\n";
  PrintTable(moves, {"move", "phase", "share", "reason"});
}

void PrintFleetStatus(const json::object& status) {
  std::cout << "revision " << status.at("revision") << "  lease "
            << status.at("lease") << "\nusage reported up to window "
            << status.at("usage_done") << "  unreadable rows "
            << status.at("unreadable_rows") << "\n";
  std::cout << "\n";
  PrintTable(status.at("instances").as_array(),
             {"node", "domain", "revision", "report", "as_of_ms", "stopping",
              "demand_per_s"});
  std::cout << "\n";
  PrintTable(status.at("servers").as_array(),
             {"server", "service", "domain", "version", "state", "reclaimable",
              "address"});
  if (status.at("moves").as_array().empty()) return;
  std::cout << "\n";
  PrintTable(status.at("moves").as_array(),
             {"service", "to", "phase", "share", "reason"});
}

std::string DescribeMove(const json::object& move, bool platform_reachable,
                         WallTime now) {
  const std::string phase(move.at("phase").as_string());
  const std::string reason(move.at("reason").as_string());
  if (phase == "done") return "done: " + reason;
  if (phase == "taken_back") return "taken back: " + reason;
  const std::string share = FormatPercent(move.at("share").to_number<double>());
  const bool late =
      move.contains("deadline_ms") &&
      now.Count() > move.at("deadline_ms").to_number<std::int64_t>();
  if (!platform_reachable) {
    return std::string("undecided: the platform is unreachable; ") +
           (late ? "the deadline has passed; " : "") +
           "the new version's share stays at " + share +
           " and can only decrease";
  }
  if (move.at("not_used_here").as_bool()) {
    return "being taken back: this instance no longer uses the new version";
  }
  if (phase == "watching") return "watching at " + share;
  return "running at " + share + ": " + reason;
}

std::string FindObjectText(const std::string& objects,
                           const std::string& wanted) {
  const toml::parse_result parsed = toml::parse(objects);
  if (!parsed) return {};
  for (const auto& [kind, node] : parsed.table()) {
    const toml::array* tables = node.as_array();
    if (tables == nullptr) continue;
    for (const toml::node& item : *tables) {
      const toml::table* table = item.as_table();
      if (table == nullptr) continue;
      const auto name = (*table)["name"].value_or(std::string());
      if (std::string(kind.str()) + " " + name != wanted) continue;
      std::ostringstream text;
      text << *table;
      return text.str();
    }
  }
  return {};
}

}  // namespace cowslipknot
