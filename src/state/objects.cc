#include "cowslipknot/state/objects.h"

#include <algorithm>
#include <functional>
#include <sstream>

#include "state/object_reader.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kLongestSuggestionDistance = 2;
constexpr std::int64_t kLargestBodyBytes = 64LL << 20;

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
  workspace.api_keys = reader.TextList("api_keys");
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
  service.version = VersionId(reader.Text("version", true));
  return service;
}

Version ReadVersion(ObjectReader& reader) {
  Version version;
  version.name = VersionId(reader.Name());
  version.service = ServiceId(reader.Text("service", true));
  version.pool = PoolId(reader.Text("pool", true));
  return version;
}

Route ReadRoute(ObjectReader& reader) {
  Route route;
  route.name = RouteId(reader.Name());
  route.service = ServiceId(reader.Text("service", true));
  route.path_prefix = reader.Text("path_prefix", false);
  route.model = reader.Text("model", false);
  route.repeatable = reader.Flag("repeatable", route.repeatable);
  route.request_class = static_cast<RequestClass>(
      reader.Choice("class", {"interactive", "patient"}));
  route.first_token = reader.Duration("first_token_ms", route.first_token);
  route.timeout = reader.Duration("timeout_ms", route.timeout);
  route.stall_timeout =
      reader.Duration("stall_timeout_ms", route.stall_timeout);
  const auto fallback = static_cast<std::int64_t>(route.max_body.Count());
  route.max_body = ByteCount(static_cast<std::uint64_t>(
      reader.Whole("max_body_bytes", fallback, 1, kLargestBodyBytes)));
  if (route.path_prefix.empty() == route.model.empty()) {
    reader.Report("needs either 'path_prefix' or 'model'");
  }
  if (!route.path_prefix.empty() && route.path_prefix.front() != '/') {
    reader.Report("'path_prefix' must begin with '/'");
  }
  return route;
}

Move ReadMove(ObjectReader& reader) {
  Move move;
  move.name = MoveId(reader.Name());
  move.service = ServiceId(reader.Text("service", true));
  move.from = VersionId(reader.Text("from", true));
  move.to = VersionId(reader.Text("to", true));
  move.duration = reader.Duration("duration_ms", Milliseconds(3600000));
  move.watch = reader.Duration("watch_ms", Milliseconds(600000));
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
    problems.push_back({file, line, kind, "write it as [[" + kind + "]]"});
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
      reader.Report("the name is used twice");
    }
  }
}

/// Collects problems of the references among the objects of one set.
class ReferenceCheck {
 public:
  ReferenceCheck(const std::string& file, std::vector<ObjectProblem>& problems)
      : m_file(file), m_problems(problems) {}

  template <class Key, class Value>
  void Require(const std::map<Key, Value>& known, const Key& wanted,
               const std::string& kind, const std::string& object, int line) {
    if (wanted.Empty() || known.contains(wanted)) return;
    std::vector<std::string> names;
    names.reserve(known.size());
    for (const auto& [key, value] : known) names.push_back(key.Text());
    const std::string near = SuggestName(wanted.Text(), names);
    Add(object, line,
        "no " + kind + " is named '" + wanted.Text() + "'" +
            (near.empty() ? "" : "; did you mean '" + near + "'?"));
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
                 ReferenceCheck& check) {
  std::map<std::string, RouteId> taken;
  for (const auto& [name, route] : set.routes) {
    const std::string object = "route " + name.Text();
    check.Require(set.services, route.service, "service", object,
                  lines.routes[name]);
    const auto service = set.services.find(route.service);
    if (service != set.services.end() &&
        (service->second.kind == ServiceKind::kModel) == route.model.empty()) {
      check.Add(object, lines.routes[name],
                "a model service is matched by 'model', a plain one by "
                "'path_prefix'");
    }
    const auto [other, fresh] =
        taken.emplace(route.model + route.path_prefix, name);
    if (!fresh) {
      check.Add(object, lines.routes[name],
                "matches the same requests as route " + other->second.Text());
    }
  }
}

void CheckMoves(const ObjectSet& set, ObjectLines& lines,
                ReferenceCheck& check) {
  for (const auto& [name, move] : set.moves) {
    const std::string object = "move " + name.Text();
    const int line = lines.moves[name];
    check.Require(set.services, move.service, "service", object, line);
    check.Require(set.versions, move.from, "version", object, line);
    check.Require(set.versions, move.to, "version", object, line);
    if (move.from == move.to) {
      check.Add(object, line, "'from' and 'to' are the same version");
    }
    for (const auto& end : {move.from, move.to}) {
      const auto version = set.versions.find(end);
      if (version != set.versions.end() &&
          version->second.service != move.service) {
        check.Add(object, line,
                  "version '" + end.Text() + "' is of another service");
      }
    }
  }
}

void CheckReferences(const ObjectSet& set, ObjectLines& lines,
                     ReferenceCheck& check) {
  for (const auto& [name, service] : set.services) {
    check.Require(set.versions, service.version, "version",
                  "service " + name.Text(), lines.services[name]);
  }
  for (const auto& [name, version] : set.versions) {
    const std::string object = "version " + name.Text();
    check.Require(set.services, version.service, "service", object,
                  lines.versions[name]);
    check.Require(set.pools, version.pool, "pool", object,
                  lines.versions[name]);
  }
  std::map<std::string, WorkspaceId> keys;
  for (const auto& [name, workspace] : set.workspaces) {
    for (const auto& key : workspace.api_keys) {
      if (!keys.emplace(key, name).second) {
        check.Add("workspace " + name.Text(), lines.workspaces[name],
                  "an API key is used by two workspaces");
      }
    }
  }
  CheckRoutes(set, lines, check);
  CheckMoves(set, lines, check);
}

void CheckKinds(const toml::table& root, const std::string& file,
                std::vector<ObjectProblem>& problems) {
  const std::vector<std::string> kinds = {"workspace", "pool",  "service",
                                          "version",   "route", "move"};
  for (const auto& [key, node] : root) {
    const std::string name(key.str());
    if (std::find(kinds.begin(), kinds.end(), name) != kinds.end()) continue;
    const std::string near = SuggestName(name, kinds);
    problems.push_back({file, static_cast<int>(node.source().begin.line), name,
                        "no such kind of object" +
                            (near.empty() ? std::string()
                                          : "; did you mean '" + near + "'?")});
  }
}

/// Maps "kind name" to the printed table.
std::map<std::string, std::string> PrintedObjects(std::string_view text) {
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
  std::size_t best_distance = kLongestSuggestionDistance + 1;
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
  ReferenceCheck check(file, problems);
  CheckReferences(set, lines, check);
  if (problems.empty()) return set;
  std::stable_sort(problems.begin(), problems.end(),
                   [](const ObjectProblem& left, const ObjectProblem& right) {
                     return left.line < right.line;
                   });
  return tl::make_unexpected(std::move(problems));
}

std::vector<ObjectChange> DiffObjects(std::string_view before,
                                      std::string_view after) {
  const auto old_objects = PrintedObjects(before);
  const auto new_objects = PrintedObjects(after);
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
