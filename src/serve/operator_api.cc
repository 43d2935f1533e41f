#include "serve/operator_api.h"

#include <openssl/crypto.h>

#include <boost/json.hpp>

#include "serve/caller_session.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kMovesPath = "/v1/moves/";

HttpResponse JsonOkResponse(std::string body) {
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

HttpResponse RevisionResponse(const Result<Revision>& revision) {
  if (!revision) return ErrorResponse(revision.error());
  json::object body;
  body["revision"] = revision->Count();
  return JsonOkResponse(json::serialize(body));
}

std::string_view StatusName(MemberStatus status) {
  switch (status) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kFailed:
      return "dead";
    default:
      return "left";
  }
}

json::array DescribeMembers(Control& control,
                            const std::map<NodeId, Revision>& revisions) {
  json::array members;
  for (const auto& member : control.Gossip().Members().Live()) {
    json::object row;
    row["node"] = member.info.node.Text();
    row["domain"] = member.info.domain.Text();
    row["status"] = StatusName(member.status);
    const auto revision = revisions.find(member.info.node);
    row["revision"] =
        revision == revisions.end() ? 0 : revision->second.Count();
    row["draining"] = member.info.draining;
    members.push_back(std::move(row));
  }
  return members;
}

json::array DescribeServers(const Fleet& fleet,
                            const std::set<DomainId>& evacuated) {
  std::map<ServerId, std::uint64_t> in_flight;
  for (const auto& [pool, servers] : fleet.Available()) {
    for (const auto& server : servers) {
      in_flight[server.record.id] = server.load->in_flight;
    }
  }
  json::array rows;
  for (const auto& [id, record] : fleet.Records()) {
    if (record.kind == "entry") continue;
    const bool takes_new_work =
        in_flight.contains(id) && !evacuated.contains(record.domain);
    json::object row;
    row["server"] = id.Text();
    row["kind"] = record.kind;
    row["pool"] = record.pool.Text();
    row["domain"] = record.domain.Text();
    row["takes_new_work"] = takes_new_work;
    row["in_flight"] = in_flight.contains(id) ? in_flight[id] : 0;
    rows.push_back(std::move(row));
  }
  return rows;
}

/// How many servers of each evacuated failure domain are listed, and how many
/// requests of this instance they still run.
json::array DescribeEvacuations(const Fleet& fleet,
                                const std::set<DomainId>& evacuated) {
  json::array rows;
  for (const auto& domain : evacuated) {
    std::uint64_t servers = 0;
    std::uint64_t in_flight = 0;
    for (const auto& [id, record] : fleet.Records()) {
      if (record.kind == "entry" || record.domain != domain) continue;
      ++servers;
      in_flight += fleet.Find(id)->load->in_flight;
    }
    rows.push_back({{"domain", domain.Text()},
                    {"servers", servers},
                    {"in_flight", in_flight}});
  }
  return rows;
}

json::array DescribeMoves(Control& control) {
  json::array rows;
  const auto& current = control.GetConfigurationManager().Current();
  if (!current) return rows;
  const auto rolled_back = control.Moves().RolledBackMoves();
  for (const auto& [name, state] : current->moves) {
    const MoveId key = EvidenceKey(name, state.started);
    json::object row;
    row["move"] = name.Text();
    row["phase"] = MovePhaseName(state.phase);
    row["share"] = state.share;
    row["reason"] = state.reason;
    row["not_used_here"] = rolled_back.contains(key);
    const auto move = current->objects.moves.find(name);
    if (move != current->objects.moves.end()) {
      row["deadline_ms"] =
          state.started.Count() + move->second.duration.count();
    }
    json::object evidence;
    for (const auto& [route, seen] : control.Moves().EvidenceOf(key)) {
      json::object counts;
      counts["old_seen"] = seen.old_errors.total;
      counts["old_failed"] = seen.old_errors.bad;
      counts["new_seen"] = seen.new_errors.total;
      counts["new_failed"] = seen.new_errors.bad;
      counts["new_slow"] = seen.new_slow.bad;
      evidence[route.Text()] = std::move(counts);
    }
    row["evidence"] = std::move(evidence);
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace

bool OperatorApi::Authorized(const HttpRequest& request) const {
  const std::string_view header = request[http::field::authorization];
  const std::string& token = m_control.GetSettings().operator_token;
  return header.size() == kBearer.size() + token.size() &&
         header.starts_with(kBearer) &&
         CRYPTO_memcmp(header.data() + kBearer.size(), token.data(),
                       token.size()) == 0;
}

Awaitable<std::string> OperatorApi::StatusJson() {
  const auto revisions = co_await m_control.CollectRevisions();
  json::object status;
  status["node"] = m_control.GetSettings().node.Text();
  status["domain"] = m_control.GetSettings().domain.Text();
  status["revision"] =
      m_control.GetConfigurationManager().CurrentRevision().Count();
  status["draining"] = m_control.Draining();
  status["platform"] =
      m_control.PlatformReachable() ? "reachable" : "unreachable";
  status["holds_lease"] = m_control.Moves().HoldsLease();
  status["held_requests"] = m_control.Backups().HeldCount();
  status["members"] = DescribeMembers(m_control, revisions);
  const auto& evacuated =
      EvacuatedDomains(m_control.GetConfigurationManager().Current());
  status["servers"] = DescribeServers(m_control.GetFleet(), evacuated);
  status["evacuated"] = DescribeEvacuations(m_control.GetFleet(), evacuated);
  status["moves"] = DescribeMoves(m_control);
  co_return json::serialize(status);
}

std::string OperatorApi::ObjectsJson() const {
  json::object body;
  body["revision"] =
      m_control.GetConfigurationManager().CurrentRevision().Count();
  const auto& current = m_control.GetConfigurationManager().Current();
  body["objects"] = current ? current->objects_text : std::string();
  return json::serialize(body);
}

Awaitable<HttpResponse> OperatorApi::ApplyObjects(const HttpRequest& request) {
  Configuration next;
  Revision base;
  try {
    const json::value body = json::parse(request.body());
    base = Revision(body.at("base_revision").to_number<std::uint64_t>());
    next.objects_text = std::string(body.at("objects").as_string());
  } catch (const std::exception& error) {
    co_return ErrorResponse(Error{ResultCode::kMalformedRequest, error.what()});
  }
  auto parsed = ParseObjects(next.objects_text, "objects");
  if (!parsed) {
    std::string detail;
    for (const auto& problem : parsed.error()) {
      detail += "\n" + FormatProblem(problem);
    }
    co_return ErrorResponse(Error{ResultCode::kInvalidObjects, detail});
  }
  next.objects = std::move(*parsed);
  auto& manager = m_control.GetConfigurationManager();
  // What is carried over must be that of the base.
  if (manager.CurrentRevision() < base) {
    const bool polled = co_await manager.Poll();
    if (manager.CurrentRevision() < base) {
      co_return ErrorResponse(Error{polled ? ResultCode::kRevisionConflict
                                           : ResultCode::kPlatformUnavailable,
                                    "the base revision was not found"});
    }
  }
  const auto current = manager.Current();
  if (current) {
    next.evacuated = current->evacuated;
    for (const auto& [name, state] : current->moves) {
      if (next.objects.moves.contains(name)) next.moves[name] = state;
    }
  }
  const auto published = co_await manager.Publish(base, std::move(next));
  co_return RevisionResponse(published);
}

Awaitable<HttpResponse> OperatorApi::ChangeMove(const std::string& path,
                                                const HttpRequest& request) {
  const std::string rest = path.substr(kMovesPath.size());
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string::npos || request.method() != http::verb::post) {
    co_return ErrorResponse(Error{ResultCode::kNoRoute, path});
  }
  const MoveId move(rest.substr(0, slash));
  const std::string action = rest.substr(slash + 1);
  if (action == "start") {
    co_return RevisionResponse(co_await m_control.Moves().Start(move));
  }
  if (action == "take-back") {
    co_return RevisionResponse(
        co_await m_control.Moves().RollBack(move, "by an operator"));
  }
  co_return ErrorResponse(Error{ResultCode::kNoRoute, path});
}

Awaitable<HttpResponse> OperatorApi::ChangeEvacuations(
    const HttpRequest& request) {
  EvacuationRequest change;
  std::string action;
  try {
    const json::value body = json::parse(request.body());
    change.domain = DomainId(std::string(body.at("domain").as_string()));
    action = std::string(body.at("action").as_string());
  } catch (const std::exception& error) {
    co_return ErrorResponse(Error{ResultCode::kMalformedRequest, error.what()});
  }
  if (action != "begin" && action != "end") {
    co_return ErrorResponse(
        Error{ResultCode::kMalformedRequest, "action '" + action + "'"});
  }
  if (action == "end") change.action = EvacuationAction::kEnd;
  co_return RevisionResponse(
      co_await m_control.ChangeEvacuations(std::move(change)));
}

Awaitable<HttpResponse> OperatorApi::MetricsResponse() {
  const MetricSet metrics = co_await m_control.CollectMetrics();
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = metrics.Render();
  co_return response;
}

Awaitable<HttpResponse> OperatorApi::Dispatch(const HttpRequest& request) {
  const std::string path(request.target());
  if (!Authorized(request)) {
    co_return ErrorResponse(Error{ResultCode::kUnauthorized});
  }
  if (path == "/metrics") co_return co_await MetricsResponse();
  if (path == "/v1/status") co_return JsonOkResponse(co_await StatusJson());
  if (path == "/v1/objects" && request.method() == http::verb::get) {
    co_return JsonOkResponse(ObjectsJson());
  }
  if (path == "/v1/objects" && request.method() == http::verb::post) {
    co_return co_await ApplyObjects(request);
  }
  if (path == "/v1/drain" && request.method() == http::verb::post) {
    m_drain();
    co_return JsonOkResponse("{\"draining\":true}");
  }
  if (path == "/v1/evacuations" && request.method() == http::verb::post) {
    co_return co_await ChangeEvacuations(request);
  }
  if (path.starts_with(kMovesPath)) {
    co_return co_await ChangeMove(path, request);
  }
  co_return ErrorResponse(Error{ResultCode::kNoRoute, path});
}

Awaitable<void> OperatorApi::Handle(HttpExchange& exchange) {
  HttpResponse response = co_await Dispatch(exchange.Request());
  co_await exchange.Respond(std::move(response));
}

}  // namespace cowslipknot
