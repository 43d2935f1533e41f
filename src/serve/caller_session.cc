#include "serve/caller_session.h"

#include <xxhash.h>

#include <boost/json.hpp>
#include <charconv>

#include "serve/attempt.h"
#include "serve/model_run.h"
#include "serve/plain_call.h"
#include "serve/request_lookup.h"
#include "serve/run_reader.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr int kIdDigits = 16;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

std::string PathOf(const HttpRequest& request) {
  const std::string_view target = request.target();
  return std::string(target.substr(0, target.find('?')));
}

/// Handles one request of a caller.
class CallerSession {
 public:
  CallerSession(Worker& worker, const CallerContext& context,
                HttpExchange& exchange)
      : m_worker(worker),
        m_context(context),
        m_exchange(exchange),
        m_snapshot(worker.SnapshotPtr()),
        m_span("caller", ParseTraceparent(exchange.Request()["traceparent"]),
               worker.Random(), worker.Hooks().trace) {}

  Awaitable<void> Run() {
    const std::string path = PathOf(m_exchange.Request());
    m_span.SetAttribute("path", path);
    if (path == "/livez") {
      co_await m_exchange.Respond(JsonResponse(http::status::ok, "{}"));
      co_return;
    }
    if (path == "/readyz") {
      co_await HandleReadiness();
      co_return;
    }
    const auto outcome = co_await Dispatch(path);
    if (!outcome) co_await RespondWithError(outcome.error());
  }

 private:
  Awaitable<void> HandleReadiness() {
    const bool ready = m_snapshot->configuration != nullptr &&
                       m_snapshot->instances_known && !m_context.draining();
    const auto status =
        ready ? http::status::ok : http::status::service_unavailable;
    co_await m_exchange.Respond(
        JsonResponse(status, ready ? "{\"ready\":true}" : "{\"ready\":false}"));
  }

  Awaitable<void> RespondWithError(const Error& error) {
    m_worker.Metrics().Add("cowslipknot_refusals_total",
                           FormatLabel("code", Describe(error.code).name));
    HttpResponse response = ErrorResponse(error);
    if (!m_id.Empty()) response.set("X-Request-Id", m_id.Text());
    auto delay = error.code == ResultCode::kNoServer
                     ? RetryDelayOfPause(m_worker, m_service, m_id)
                     : std::nullopt;
    if (error.code == ResultCode::kPromptQuarantined)
      delay = co_await m_worker.Crashes().TimeUntilTrial(m_suspects);
    if (delay) {
      response.set(
          http::field::retry_after,
          std::to_string(std::chrono::duration<double>(*delay).count()));
    }
    co_await m_exchange.Respond(std::move(response));
  }

  Result<WorkspaceId> Authenticate() const {
    const std::string_view header =
        m_exchange.Request()[http::field::authorization];
    if (!header.starts_with(kBearer)) return Fail(ResultCode::kUnknownKey);
    const std::string key(header.substr(kBearer.size()));
    const auto found = m_snapshot->api_keys.find(key);
    if (found == m_snapshot->api_keys.end()) {
      return Fail(ResultCode::kUnknownKey);
    }
    return found->second;
  }

  Awaitable<Result<void>> Dispatch(const std::string& path) {
    if (!m_snapshot->configuration) {
      co_return Fail(ResultCode::kNoConfiguration);
    }
    const auto workspace = Authenticate();
    if (!workspace) co_return tl::make_unexpected(workspace.error());
    m_workspace = *workspace;
    m_idempotency_key = std::string(m_exchange.Request()["Idempotency-Key"]);
    if (m_idempotency_key.size() > kMaxIdempotencyKeyBytes) {
      co_return Fail(ResultCode::kMalformedRequest, "Idempotency-Key too long");
    }
    const http::verb method = m_exchange.Request().method();
    if (path == "/v1/models" && method == http::verb::get) {
      co_await m_exchange.Respond(ListModels());
      co_return Result<void>();
    }
    if (path.starts_with(kRequestsPath) && method == http::verb::get) {
      auto found = co_await HandleLookup(path.substr(kRequestsPath.size()));
      // A failed lookup does not tell whether the request itself was executed.
      if (!found) found.error().execution = Execution::kUnknown;
      co_return found;
    }
    const bool completion =
        path == "/v1/completions" || path == "/v1/chat/completions";
    if (completion && method == http::verb::post) {
      co_return co_await HandleModelRequest(path);
    }
    co_return co_await HandlePlainRequest(path);
  }

  HttpResponse ListModels() const {
    json::array models;
    for (const auto& [name, route] :
         m_snapshot->configuration->objects.routes) {
      if (route.model.empty()) continue;
      json::object model;
      model["id"] = route.model;
      model["object"] = "model";
      model["created"] = 0;
      model["owned_by"] = "cowslipknot";
      models.push_back(std::move(model));
    }
    json::object list;
    list["object"] = "list";
    list["data"] = std::move(models);
    return JsonResponse(http::status::ok, json::serialize(list));
  }

  /// Generates the id by which the request can be looked up. For a request with
  /// an idempotency key, every instance derives the same id.
  RequestId MakeId() {
    if (m_idempotency_key.empty()) {
      return RequestId("r-" + m_worker.GetSettings().node.Text() + "-" +
                       RandomHex(m_worker.Random(), kIdDigits));
    }
    const std::string text = m_workspace.Text() + "/" + m_idempotency_key;
    return RequestId("k-" +
                     std::to_string(XXH3_64bits(text.data(), text.size())));
  }

  Worker& WorkerFor(const RequestId& id) const {
    const std::size_t hash = XXH3_64bits(id.Text().data(), id.Text().size());
    return *m_context.workers->at(hash % m_context.workers->size());
  }

  const Route* FindModelRoute(const std::string& model) const {
    for (const auto& [name, route] :
         m_snapshot->configuration->objects.routes) {
      if (!route.model.empty() && route.model == model) return &route;
    }
    return nullptr;
  }

  const Route* FindPlainRoute(const std::string& path) const {
    const Route* best = nullptr;
    for (const auto& [name, route] :
         m_snapshot->configuration->objects.routes) {
      if (route.path_prefix.empty()) continue;
      if (!path.starts_with(route.path_prefix)) continue;
      const bool longer = best == nullptr ||
                          route.path_prefix.size() > best->path_prefix.size();
      if (longer) best = &route;
    }
    return best;
  }

  Awaitable<Result<void>> HandleModelRequest(const std::string& path) {
    auto parsed = ParseModelRequest(path, m_exchange.Request().body());
    if (!parsed) co_return tl::make_unexpected(parsed.error());
    const Route* found = FindModelRoute(parsed->model);
    if (found == nullptr) {
      co_return Fail(ResultCode::kNoRoute, "model " + parsed->model);
    }
    if (parsed->body.size() > found->max_body.Count()) {
      co_return Fail(ResultCode::kBodyTooLarge);
    }
    m_id = MakeId();
    m_service = found->service;
    m_suspects =
        SuspectsOf(m_workspace, found->name, "POST", path, parsed->body);
    if (!m_idempotency_key.empty() && co_await HasBackup()) {
      RunReader reader(m_worker, m_exchange, m_id);
      co_await reader.RedirectToLookup();
      co_return Result<void>();
    }
    const bool stream = parsed->stream;
    const std::string body = parsed->body;
    auto run = co_await FindOrStart(*found, std::move(*parsed));
    if (run->Request().body != body) co_return Fail(ResultCode::kKeyReused);
    RunReader reader(m_worker, m_exchange, m_id);
    if (stream) co_return co_await reader.Stream(run, 0);
    co_return co_await reader.SendCompleteAnswer(run);
  }

  /// Whether a backup of this keyed request exists, or a peer took it over.
  Awaitable<bool> HasBackup() {
    const ControlHooks& hooks = m_worker.Hooks();
    co_return co_await RunOn(hooks.executor, hooks.has_backup(m_id));
  }

  Awaitable<std::shared_ptr<ModelRun>> FindOrStart(Route route,
                                                   ModelRequest request) {
    Worker& owner = WorkerFor(m_id);
    // Once a stop or reclaim is announced, a peer gets a backup of the request
    // before the engine is called.
    const bool back_up = m_context.reclaim_announced();
    auto start =
        [](Worker& worker, RequestId id, WorkspaceId workspace, Route run_route,
           ModelRequest run_request, TraceContext parent,
           bool back_up_first) -> Awaitable<std::shared_ptr<ModelRun>> {
      auto run = worker.FindRun(id);
      if (run) co_return run;
      run = std::make_shared<ModelRun>(worker, id, workspace, run_route,
                                       std::move(run_request));
      worker.AddRun(run);
      if (back_up_first) co_await worker.Hooks().back_up(run);
      run->Start(parent);
      co_return run;
    };
    co_return co_await RunOn(
        owner.Executor(), start(owner, m_id, m_workspace, std::move(route),
                                std::move(request), m_span.Context(), back_up));
  }

  /// Position after the last event that the caller has received, from its
  /// Last-Event-ID header; 0 without a valid one.
  std::size_t ResumePosition() const {
    const std::string_view last = m_exchange.Request()["Last-Event-ID"];
    std::size_t index = 0;
    const auto [end, error] =
        std::from_chars(last.data(), last.data() + last.size(), index);
    const bool valid = error == std::errc() && !last.empty();
    return valid ? index + 1 : 0;
  }

  Awaitable<Result<void>> HandleLookup(std::string id) {
    m_id = RequestId(std::move(id));
    auto find = [](Worker& worker,
                   RequestId wanted) -> Awaitable<std::shared_ptr<ModelRun>> {
      co_return worker.FindRun(wanted);
    };
    Worker& owner = WorkerFor(m_id);
    const auto run = co_await RunOn(owner.Executor(), find(owner, m_id));
    const bool own = run && run->GetWorkspace() == m_workspace;
    if (own) {
      RunReader reader(m_worker, m_exchange, m_id);
      if (run->Request().stream) {
        co_return co_await reader.Stream(run, ResumePosition());
      }
      co_return co_await reader.SendCompleteAnswer(run);
    }
    const ControlHooks& hooks = m_worker.Hooks();
    const bool held = co_await RunOn(hooks.executor, hooks.holds_backup(m_id));
    if (held) {
      co_return Fail(ResultCode::kStillRunning, "in progress at its owner");
    }
    const bool forwarded = !m_exchange.Request()["X-Forwarded-By"].empty();
    if (forwarded) co_return Fail(ResultCode::kUnknownRequest);
    if (m_id.Text().starts_with("k-") || m_id.Text().starts_with("r-")) {
      co_return co_await ForwardLookup(m_worker, m_exchange, m_id);
    }
    co_return co_await SendClaimOutcome(m_worker, m_exchange, m_workspace,
                                        m_id);
  }

  Awaitable<Result<void>> HandlePlainRequest(const std::string& path) {
    const Route* route = FindPlainRoute(path);
    if (route == nullptr) co_return Fail(ResultCode::kNoRoute, path);
    if (m_exchange.Request().body().size() > route->max_body.Count()) {
      co_return Fail(ResultCode::kBodyTooLarge);
    }
    PlainRequest request;
    m_id = RequestId("r-" + m_worker.GetSettings().node.Text() + "-" +
                     RandomHex(m_worker.Random(), kIdDigits));
    request.id = m_id;
    request.workspace = m_workspace;
    request.route = *route;
    m_service = route->service;
    m_suspects = SuspectsOf(
        m_workspace, route->name, m_exchange.Request().method_string(),
        m_exchange.Request().target(), m_exchange.Request().body());
    request.suspects = m_suspects;
    request.idempotency_key = m_idempotency_key;
    request.http = m_exchange.Request();
    request.parent = m_span.Context();
    auto answer = co_await CallPlainService(m_worker, std::move(request));
    if (!answer) co_return tl::make_unexpected(answer.error());
    HttpResponse response(answer->result(), 11);
    for (const auto field :
         {http::field::content_type, http::field::etag, http::field::location,
          http::field::cache_control}) {
      const auto value = (*answer)[field];
      if (!value.empty()) response.set(field, value);
    }
    for (const auto* name : {"Idempotent-Replayed", "X-Body-Omitted"}) {
      const auto value = (*answer)[name];
      if (!value.empty()) response.set(name, value);
    }
    response.set("X-Request-Id", m_id.Text());
    response.body() = std::move(answer->body());
    co_await m_exchange.Respond(std::move(response));
    co_return Result<void>();
  }

  Worker& m_worker;
  const CallerContext& m_context;
  HttpExchange& m_exchange;
  FleetSnapshotPtr m_snapshot;
  Span m_span;
  WorkspaceId m_workspace;
  std::string m_idempotency_key;
  RequestId m_id;
  Suspects m_suspects;  ///< of a request to servers
  ServiceId m_service;  ///< of the request's route; empty if there is none
};

}  // namespace

HttpResponse JsonResponse(http::status status, std::string body) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

HttpResponse ErrorResponse(const Error& error) {
  const ResultCodeRow& row = Describe(error.code);
  HttpResponse response = JsonResponse(
      static_cast<http::status>(row.http_status), FormatErrorBody(error));
  response.set("X-Result-Code",
               std::to_string(static_cast<std::uint16_t>(error.code)));
  response.set("X-Execution", error.execution == Execution::kNotRun
                                  ? "not-run"
                                  : "outcome-unknown");
  if (row.http_status == 429 || row.http_status == 503) {
    response.set(http::field::retry_after, "1");
  }
  return response;
}

Awaitable<void> HandleCaller(Worker& worker, const CallerContext& context,
                             HttpExchange& exchange) {
  CallerSession session(worker, context, exchange);
  co_await session.Run();
}

}  // namespace cowslipknot
