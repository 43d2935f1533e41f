#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

/// The named objects that operators publish together as one set.
namespace cowslipknot {

/// A caller's workspace and its share of each service.
struct Workspace {
  WorkspaceId name;
  std::vector<std::string> api_keys;
  double weight = 1.0;  ///< relative token share while servers are saturated
};

/// A group of backend servers that run one version.
struct Pool {
  PoolId name;
  bool checks_fencing = false;  ///< engines reject commands with a stale epoch
};

enum class ServiceKind : std::uint8_t { kModel, kPlain };

struct Service {
  ServiceId name;
  ServiceKind kind = ServiceKind::kModel;
  VersionId version;  ///< receives the traffic that no move redirects
};

struct Version {
  VersionId name;
  ServiceId service;
  PoolId pool;
};

enum class RequestClass : std::uint8_t { kInteractive, kPatient };

/// Maps requests to a service.
struct Route {
  RouteId name;
  ServiceId service;
  std::string path_prefix;  ///< plain services
  std::string model;        ///< model services: the request's "model" field
  bool repeatable = true;
  RequestClass request_class = RequestClass::kInteractive;
  Milliseconds first_token_target{1400};  ///< interactive routes only
  Milliseconds timeout{30000};
  Milliseconds stall_timeout{2000};  ///< longest gap within a stream
  ByteCount max_body{1 << 20};
};

/// Gradually shifts a service's traffic from one version to another.
struct Move {
  MoveId name;
  ServiceId service;
  VersionId from;
  VersionId to;
  Milliseconds duration{0};  ///< from start to deadline
  /// How long `from` is kept after `to` has received all traffic.
  Milliseconds watch_period{0};
  double first_share = 0.02;
  /// Excess over the share at `from` that makes `to` count as bad.
  double bad_error_share = 0.05;
  double bad_slow_share = 0.20;
};

enum class MovePhase : std::uint8_t { kRunning, kWatching, kDone, kRolledBack };

/// State of a started move. Published with the objects.
struct MoveState {
  MovePhase phase = MovePhase::kRunning;
  double share = 0;
  WallTime started;
  WallTime full_since;
  std::string reason;
};

/// One published set of objects. Immutable once parsed.
struct ObjectSet {
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<PoolId, Pool> pools;
  std::map<ServiceId, Service> services;
  std::map<VersionId, Version> versions;
  std::map<RouteId, Route> routes;
  std::map<MoveId, Move> moves;
};

/// An error in an object file or a settings file.
struct ObjectProblem {
  std::string file;
  int line = 0;
  std::string object;  ///< for example "route filing"
  std::string message;
};

/// Parses and validates an object set.
///
/// @param text  TOML with arrays of tables: workspace, pool, service, version,
///              route, move
/// @param file  name used in problems
/// @return the set, or all problems found, ordered by line
tl::expected<ObjectSet, std::vector<ObjectProblem>> ParseObjects(
    std::string_view text, const std::string& file);

/// Formats as "file:line: object: message".
std::string FormatProblem(const ObjectProblem& problem);

/// Returns the known name with the smallest edit distance to `name`, or an
/// empty string if none is close.
std::string SuggestName(std::string_view name,
                        const std::vector<std::string>& known);

/// One object that differs between two sets.
struct ObjectChange {
  enum class Kind : std::uint8_t { kAdded, kRemoved, kChanged };
  Kind kind;
  std::string object;
};

/// Returns the objects that differ between two object files, by comparing the
/// printed table of each object.
std::vector<ObjectChange> DiffObjects(std::string_view before,
                                      std::string_view after);

}  // namespace cowslipknot
