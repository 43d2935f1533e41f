#include "cowslipknot/state/objects.h"

#include <algorithm>
#include <functional>
#include <sstream>

#include "state/object_reader.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kMaxSuggestionDistance = 2;
constexpr std::int64_t kMaxBodyBytes = 64LL << 20;

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substituted =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row[right.size()];
}

Workspace ReadWorkspace(ObjectReader& reader) {
  Workspace workspace;
  workspace.name = WorkspaceId(reader.Name());
  workspace.api_keys = reader.StringList("api_keys");
  workspace.weight = reader.Number("weight", workspace.weight, 0.01, 1000);
  return workspace;
}

Pool ReadPool(ObjectReader& reader) {
  Pool pool;
  pool.name = PoolId(reader.Name());
  pool.checks_fencing = reader.Flag("checks_fencing", pool.checks_fencing);
  return pool;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  service.name = ServiceId(reader.Name());
  service.kind =
      static_cast<ServiceKind>(reader.Choice("kind", {"model", "plain"}));
  service.version = VersionId(reader.String("version", true));
  return service;
}

Version ReadVersion(ObjectReader& reader) {
  Version version;
  version.name = VersionId(reader.Name());
  version.service = ServiceId(reader.String("service", true));
  version.pool = PoolId(reader.String("pool", true));
  return version;
}

Route ReadRoute(ObjectReader& reader) {
  Route route;
  route.name = RouteId(reader.Name());
  route.service = ServiceId(reader.String("service", true));
  route.path_prefix = reader.String("path_prefix", false);
  route.model = reader.String("model", false);
  route.repeatable = reader.Flag("repeatable", route.repeatable);
  route.request_class = static_cast<RequestClass>(
      reader.Choice("class", {"interactive", "patient"}));
  route.first_token_target =
      reader.Duration("first_token_ms", route.first_token_target);
  route.timeout = reader.Duration("timeout_ms", route.timeout);
  route.stall_timeout =
      reader.Duration("stall_timeout_ms", route.stall_timeout);
  const auto fallback = static_cast<std::int64_t>(route.max_body.Count());
  route.max_body = ByteCount(static_cast<std::uint64_t>(
      reader.Integer("max_body_bytes", fallback, 1, kMaxBodyBytes)));
  if (route.path_prefix.empty() == route.model.empty()) {
    reader.Report("needs either 'path_prefix' or 'model', not both");
  }
  if (!route.path_prefix.empty() && route.path_prefix.front() != '/') {
    reader.Report("'path_prefix' must begin with '/'");
  }
  return route;
}

Move ReadMove(ObjectReader& reader) {
  Move move;
  move.name = MoveId(reader.Name());
  move.service = ServiceId(reader.String("service", true));
  move.from = VersionId(reader.String("from", true));
  move.to = VersionId(reader.String("to", true));
  move.duration = reader.Duration("duration_ms", Milliseconds(3600000));
  move.watch_period = reader.Duration("watch_ms", Milliseconds(600000));
  move.first_share = reader.Number("first_share", move.first_share, 0.001, 0.5);
  move.bad_error_share =
      reader.Number("bad_error_share", move.bad_error_share, 0.001, 1);
  move.bad_slow_share =
      reader.Number("bad_slow_share", move.bad_slow_share, 0.001, 1);
  return move;
}

/// Reads every table of one kind into `target`, keyed by name.
template <class Key, class Value>
void ReadKind(const toml::table& root, const std::string& kind,
              const std::string& file, Value (*read)(ObjectReader&),
              std::map<Key, Value>& target, std::map<Key, int>& lines,
              std::vector<ObjectProblem>& problems) {
  const toml::node* node = root.get(kind);
  if (node == nullptr) return;
  const toml::array* tables = node->as_array();
  if (tables == nullptr || !tables->is_array_of_tables()) {
    const auto line = static_cast<int>(node->source().begin.line);
    problems.push_back(
        {file, line, kind, "must be an array of tables: [[" + kind + "]]"});
    return;
  }
  for (const toml::node& item : *tables) {
    const toml::table& table = *item.as_table();
    ObjectReader reader(table, kind, file, problems);
    Value value = read(reader);
    reader.Finish();
    if (value.name.Empty()) continue;
    const Key key = value.name;
    lines[key] = static_cast<int>(table.source().begin.line);
    if (!target.emplace(key, std::move(value)).second) {
      reader.Report("the name is already used");
    }
  }
}

/// Collects problems with references between the objects of one set.
class ReferenceChecker {
 public:
  ReferenceChecker(const std::string& file,
                   std::vector<ObjectProblem>& problems)
      : m_file(file), m_problems(problems) {}

  template <class Key, class Value>
  void Require(const std::map<Key, Value>& known, const Key& referenced,
               const std::string& kind, const std::string& object, int line) {
    if (referenced.Empty() || known.contains(referenced)) return;
    std::vector<std::string> names;
    names.reserve(known.size());
    for (const auto& [key, value] : known) names.push_back(key.Text());
    const std::string suggestion = SuggestName(referenced.Text(), names);
    Add(object, line,
        "no " + kind + " is named '" + referenced.Text() + "'" +
            (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?"));
  }

  void Add(const std::string& object, int line, const std::string& message) {
    m_problems.push_back({m_file, line, object, message});
  }

 private:
  const std::string& m_file;
  std::vector<ObjectProblem>& m_problems;
};

struct ObjectLines {
  std::map<WorkspaceId, int> workspaces;
  std::map<PoolId, int> pools;
  std::map<ServiceId, int> services;
  std::map<VersionId, int> versions;
  std::map<RouteId, int> routes;
  std::map<MoveId, int> moves;
};

void CheckRoutes(const ObjectSet& set, ObjectLines& lines,
                 ReferenceChecker& checker) {
  std::map<std::string, RouteId> routes_by_match;
  for (const auto& [name, route] : set.routes) {
    const std::string object = "route " + name.Text();
    checker.Require(set.services, route.service, "service", object,
                    lines.routes[name]);
    const auto service = set.services.find(route.service);
    if (service != set.services.end() &&
        (service->second.kind == ServiceKind::kModel) == route.model.empty()) {
      checker.Add(
          object, lines.routes[name],
          "a route needs 'model' for a model service and 'path_prefix' for "
          "a plain one");
    }
    const auto [other, inserted] =
        routes_by_match.emplace(route.model + route.path_prefix, name);
    if (!inserted) {
      checker.Add(object, lines.routes[name],
                  "matches the same requests as route " + other->second.Text());
    }
  }
}

void CheckMoves(const ObjectSet& set, ObjectLines& lines,
                ReferenceChecker& checker) {
  for (const auto& [name, move] : set.moves) {
    const std::string object = "move " + name.Text();
    const int line = lines.moves[name];
    checker.Require(set.services, move.service, "service", object, line);
    checker.Require(set.versions, move.from, "version", object, line);
    checker.Require(set.versions, move.to, "version", object, line);
    if (move.from == move.to) {
      checker.Add(object, line, "'from' and 'to' are the same version");
    }
    for (const auto& end : {move.from, move.to}) {
      const auto version = set.versions.find(end);
      if (version != set.versions.end() &&
          version->second.service != move.service) {
        checker.Add(object, line,
                    "version '" + end.Text() + "' belongs to another service");
      }
    }
  }
}

void CheckReferences(const ObjectSet& set, ObjectLines& lines,
                     ReferenceChecker& checker) {
  for (const auto& [name, service] : set.services) {
    checker.Require(set.versions, service.version, "version",
                    "service " + name.Text(), lines.services[name]);
  }
  for (const auto& [name, version] : set.versions) {
    const std::string object = "version " + name.Text();
    checker.Require(set.services, version.service, "service", object,
                    lines.versions[name]);
    checker.Require(set.pools, version.pool, "pool", object,
                    lines.versions[name]);
  }
  std::map<std::string, WorkspaceId> keys;
  for (const auto& [name, workspace] : set.workspaces) {
    for (const auto& key : workspace.api_keys) {
      if (!keys.emplace(key, name).second) {
        checker.Add("workspace " + name.Text(), lines.workspaces[name],
                    "an API key is used by two workspaces");
      }
    }
  }
  CheckRoutes(set, lines, checker);
  CheckMoves(set, lines, checker);
}

void CheckKinds(const toml::table& root, const std::string& file,
                std::vector<ObjectProblem>& problems) {
  const std::vector<std::string> kinds = {"workspace", "pool",  "service",
                                          "version",   "route", "move"};
  for (const auto& [key, node] : root) {
    const std::string name(key.str());
    if (std::find(kinds.begin(), kinds.end(), name) != kinds.end()) continue;
    const std::string suggestion = SuggestName(name, kinds);
    problems.push_back(
        {file, static_cast<int>(node.source().begin.line), name,
         "no such kind of object" +
             (suggestion.empty() ? std::string()
                                 : "; did you mean '" + suggestion + "'?")});
  }
}

/// Returns the printed table of each object, keyed by "kind name".
std::map<std::string, std::string> PrintObjects(std::string_view text) {
  std::map<std::string, std::string> printed;
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) return printed;
  for (const auto& [kind, node] : parsed.table()) {
    if (!node.is_array()) continue;
    for (const toml::node& item : *node.as_array()) {
      if (!item.is_table()) continue;
      std::ostringstream out;
      out << *item.as_table();
      const auto name = (*item.as_table())["name"].value_or(std::string());
      printed[std::string(kind.str()) + " " + name] = out.str();
    }
  }
  return printed;
}

}  // namespace

std::string SuggestName(std::string_view name,
                        const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_distance = kMaxSuggestionDistance + 1;
  for (const auto& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < best_distance && distance < candidate.size()) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

std::string FormatProblem(const ObjectProblem& problem) {
  return problem.file + ":" + std::to_string(problem.line) + ": " +
         problem.object + ": " + problem.message;
}

tl::expected<ObjectSet, std::vector<ObjectProblem>> ParseObjects(
    std::string_view text, const std::string& file) {
  std::vector<ObjectProblem> problems;
  const toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const toml::parse_error& error = parsed.error();
    problems.push_back({file, static_cast<int>(error.source().begin.line),
                        "file", std::string(error.description())});
    return tl::make_unexpected(std::move(problems));
  }
  const toml::table& root = parsed.table();
  ObjectSet set;
  ObjectLines lines;
  CheckKinds(root, file, problems);
  ReadKind(root, "workspace", file, &ReadWorkspace, set.workspaces,
           lines.workspaces, problems);
  ReadKind(root, "pool", file, &ReadPool, set.pools, lines.pools, problems);
  ReadKind(root, "service", file, &ReadService, set.services, lines.services,
           problems);
  ReadKind(root, "version", file, &ReadVersion, set.versions, lines.versions,
           problems);
  ReadKind(root, "route", file, &ReadRoute, set.routes, lines.routes, problems);
  ReadKind(root, "move", file, &ReadMove, set.moves, lines.moves, problems);
  ReferenceChecker checker(file, problems);
  CheckReferences(set, lines, checker);
  if (problems.empty()) return set;
  std::stable_sort(problems.begin(), problems.end(),
                   [](const ObjectProblem& left, const ObjectProblem& right) {
                     return left.line < right.line;
                   });
  return tl::make_unexpected(std::move(problems));
}

std::vector<ObjectChange> DiffObjects(std::string_view before,
                                      std::string_view after) {
  const auto old_objects = PrintObjects(before);
  const auto new_objects = PrintObjects(after);
  std::vector<ObjectChange> changes;
  for (const auto& [object, text] : old_objects) {
    const auto found = new_objects.find(object);
    if (found == new_objects.end()) {
      changes.push_back({ObjectChange::Kind::kRemoved, object});
    } else if (found->second != text) {
      changes.push_back({ObjectChange::Kind::kChanged, object});
    }
  }
  for (const auto& [object, text] : new_objects) {
    if (!old_objects.contains(object)) {
      changes.push_back({ObjectChange::Kind::kAdded, object});
    }
  }
  return changes;
}

}  // namespace cowslipknot
