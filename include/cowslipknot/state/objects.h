#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

/// The named objects that operators publish as one set.
namespace cowslipknot {

/// A caller's workspace and its share of each service.
struct Workspace {
  WorkspaceId name;
  std::vector<std::string> api_keys;
  double weight = 1.0;  ///< share of tokens when servers are saturated
};

/// A group of backend servers that run one version.
struct Pool {
  PoolId name;
  bool checks_fencing = false;  ///< engines refuse orders with an old epoch
};

enum class ServiceKind : std::uint8_t { kModel, kPlain };

struct Service {
  ServiceId name;
  ServiceKind kind = ServiceKind::kModel;
  VersionId version;  ///< receives traffic that no move redirects
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
  Milliseconds first_token{1400};  ///< target; interactive routes only
  Milliseconds timeout{30000};
  Milliseconds stall_timeout{2000};  ///< longest silence within a stream
  ByteCount max_body{1 << 20};
};

/// Moves a service's traffic from one version to another.
struct Move {
  MoveId name;
  ServiceId service;
  VersionId from;
  VersionId to;
  Milliseconds duration{0};  ///< from start to deadline
  Milliseconds watch{0};     ///< after full share, the old version kept
  double first_share = 0.02;
  double bad_error_share = 0.05;  ///< excess over the old version that is bad
  double bad_slow_share = 0.20;
};

enum class MovePhase : std::uint8_t { kRunning, kWatching, kDone, kTakenBack };

/// What has been decided about a started move. Published with the objects.
struct MoveState {
  MovePhase phase = MovePhase::kRunning;
  double share = 0;
  WallTime started;
  WallTime full_since;
  std::string reason;
};

/// One published set. Immutable once parsed.
struct ObjectSet {
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<PoolId, Pool> pools;
  std::map<ServiceId, Service> services;
  std::map<VersionId, Version> versions;
  std::map<RouteId, Route> routes;
  std::map<MoveId, Move> moves;
};

/// One error of an object file.
struct ObjectProblem {
  std::string file;
  int line = 0;
  std::string object;  ///< "route filing"
  std::string message;
};

/// Parses and checks a whole set.
///
/// @param text  TOML with arrays of tables: workspace, pool, service, version,
///              route, move
/// @param file  name used in problems
/// @return the set, or every problem found, in order of line
tl::expected<ObjectSet, std::vector<ObjectProblem>> ParseObjects(
    std::string_view text, const std::string& file);

/// "file:line: object: message".
std::string FormatProblem(const ObjectProblem& problem);

/// The known name nearest to `name`, or empty if none is near.
std::string SuggestName(std::string_view name,
                        const std::vector<std::string>& known);

/// One object that differs between two sets.
struct ObjectChange {
  enum class Kind : std::uint8_t { kAdded, kRemoved, kChanged };
  Kind kind;
  std::string object;
};

/// Differences between two object files, by the text of each object's table.
std::vector<ObjectChange> DiffObjects(std::string_view before,
                                      std::string_view after);

}  // namespace cowslipknot
