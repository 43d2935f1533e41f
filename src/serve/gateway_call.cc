#include "serve/gateway_call.h"

#include <xxhash.h>

#include "cowslipknot/events.h"
#include "serve/refusal.h"
#include "serve/request_admission.h"

namespace cowslipknot::gateway {
namespace {

/// Connections that may reach no server count as failed after this time.
constexpr Milliseconds kConnectTimeout(250);
/// A connection idle for longer may be gone without notice; a request that may
/// run only once is not risked on it.
constexpr Milliseconds kUnsafeMaxIdle(2000);
constexpr Milliseconds kMaxIdle(8000);
/// Servers that rejected work have ended some of it within this time.
constexpr Milliseconds kRetryNoServer(400);
/// Attempts that did not run, after which a request is refused.
constexpr std::uint32_t kMaxRejections = 3;
/// The least urgent rank that model servers know.
constexpr std::uint32_t kMaxPriority = 9;

}  // namespace

Awaitable<void> Call::Run() {
  AdmittedRequest admitted =
      co_await AdmitRequest(m_worker, *m_snapshot, m_exchange.Request());
  m_request = std::move(admitted.request);
  m_route = admitted.route;
  m_workspace = admitted.workspace;
  m_retry_after = admitted.retry_after;
  m_deadline = m_started + admitted.patience;
  if (admitted.rejection) {
    co_await Refuse(*admitted.rejection);
    co_return;
  }
  m_exchange.WatchPeer([this] {
    m_caller_gone = true;
    if (m_progress.abort) m_progress.abort();
  });
  co_await RunAttempts();
}

Milliseconds Call::TimeLeft() const {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(m_deadline - SteadyClock::now());
  return std::max(left, Milliseconds(0));
}

Result<Backend> Call::Choose() {
  const SnapshotPtr latest = m_worker.GetSnapshot();
  const std::uint64_t hash =
      XXH3_64bits(m_request.id.Text().data(), m_request.id.Text().size());
  const ServiceId& service = PickService(*m_route, hash);
  const auto servers = latest->servers.find(service);
  if (servers == latest->servers.end()) {
    return Fail(ResultCode::kNoServer, service.Text());
  }
  PlacementRequest request;
  request.prompt = m_request.prompt.value_or(TokenCount(0));
  request.parts = m_request.parts;
  request.objective = m_route->objective;
  request.tried = m_tried;
  PlacementContext context;
  context.domain = m_worker.GetSettings().domain;
  context.now = BootTime();
  context.instances_in_domain = latest->instances_in_domain;
  context.draw = m_worker.Draw();
  const std::vector<Backend>& candidates =
      ServersOfVersion(*latest, service, servers->second, hash);
  const auto placement = Place(request, candidates, context);
  if (!placement) return tl::make_unexpected(placement.error());
  m_placement = *placement;
  return candidates[placement->index];
}

const std::vector<Backend>& Call::ServersOfVersion(
    const Snapshot& latest, const ServiceId& service,
    const std::vector<Backend>& servers, std::uint64_t hash) {
  m_move_key = MoveId();
  const auto found = latest.moves.find(service);
  if (found == latest.moves.end()) return servers;
  const MovedService& moved = found->second;
  if (moved.Undecided()) m_move_key = MoveKey(moved.move.order);
  m_new_version = moved.move.order.to;
  const bool to_new = GoesToNew(moved.move, hash, !m_tried.empty());
  const auto& chosen = to_new ? moved.new_servers : moved.old_servers;
  return chosen.empty() ? servers : chosen;
}

HttpRequest Call::BuildAttempt(const Backend& server) const {
  HttpRequest wire = m_exchange.Request();
  wire.version(11);
  AttemptFields fields;
  fields.server = server.entry.id;
  if (m_workspace != nullptr) fields.workspace = m_workspace->name;
  fields.time_left = TimeLeft();
  if (IsModelCall()) {
    fields.priority = std::min(kMaxPriority, m_route->priority);
  }
  fields.last_event =
      m_events.LastId() ? m_events.LastId() : m_request.last_event;
  m_worker.GetDialect().write_attempt(wire, m_request, fields);
  return wire;
}

Awaitable<void> Call::RunAttempts() {
  m_worker.Retries().NoteRequest();
  std::uint32_t ran = 0;
  std::uint32_t rejections = 0;
  Error last{ResultCode::kNoServer};
  while (!m_caller_gone) {
    if (TimeLeft().count() == 0) {
      last.code = ResultCode::kDeadlinePassed;
      break;
    }
    const bool repeat = !m_tried.empty();
    const auto server = Choose();
    if (!server) {
      if (!repeat) last = server.error();
      break;
    }
    if (repeat && m_reached && !m_worker.Retries().TrySpend()) break;
    const Backend& chosen = *server;
    const AttemptEnd end = co_await Attempt(chosen, last);
    if (end == AttemptEnd::kAnswered) co_return;
    if (end == AttemptEnd::kNotExecuted) {
      if (++rejections >= kMaxRejections) break;
      continue;
    }
    ++ran;
    const bool may_repeat =
        m_route->Repeatable() && ran < m_route->max_attempts;
    if (!may_repeat) break;
  }
  co_await Conclude(ran > 0, last);
}

Awaitable<AttemptEnd> Call::Attempt(const Backend& server, Error& error) {
  m_tried.push_back(server.entry.id);
  m_events.DropRest();
  BackendLoad load(server.state, m_placement, m_request.parts);
  NotePromptLoad(server);
  if (server.is_model) {
    m_worker.TellPrompt(server.entry.id, m_placement.uncached);
  }
  LogAttempt(server);
  m_worker.Metrics().Add("cowslipknot_attempts_total",
                         Label("route", m_route->name.Text()));
  CallOptions options;
  options.timeout = TimeLeft();
  options.connect_timeout = kConnectTimeout;
  options.max_idle = m_route->Repeatable() ? kMaxIdle : kUnsafeMaxIdle;
  options.belongs = [this](const http::response_header<>& header) {
    const auto answer = m_worker.GetDialect().read_answer(header);
    return answer.id.Empty() || answer.id == m_request.id;
  };
  const auto started = SteadyClock::now();
  m_sent = started;
  m_progress = CallProgress();
  auto opened = co_await m_worker.Http().Open(
      server.entry.address, BuildAttempt(server), options, m_progress);
  if (m_progress.first_byte_sent) m_reached = true;
  if (!opened) {
    m_progress.abort = nullptr;
    if (m_progress.reused_connection) {
      m_worker.Http().Forget(server.entry.address);
    }
    error = opened.error();
    if (!m_caller_gone) NoteFailure(server, error);
    co_return m_progress.first_byte_sent ? AttemptEnd::kFailed
                                         : AttemptEnd::kNotExecuted;
  }
  const auto answer = m_worker.GetDialect().read_answer((*opened)->Header());
  if (answer.not_executed) {
    co_await ReadAll(**opened);
    m_progress.abort = nullptr;
    error = Error{ResultCode::kBackendRefused,
                  std::to_string((*opened)->Header().result_int())};
    NoteFailure(server, error);
    co_return AttemptEnd::kNotExecuted;
  }
  if (!answer.is_signed) {
    m_progress.abort = nullptr;
    error = Error{ResultCode::kBackendMalformed, "no signature"};
    NoteFailure(server, error);
    co_return AttemptEnd::kFailed;
  }
  const bool streams = m_route->kind == RouteKind::kStream &&
                       (*opened)->Header().result() == http::status::ok;
  AttemptEnd end = AttemptEnd::kFailed;
  if (streams) {
    end = co_await PassEvents(server, **opened, load, error);
    NoteStreamLoad(server, started);
  } else {
    end = co_await PassWhole(server, **opened, error);
  }
  m_progress.abort = nullptr;
  co_return end;
}

Awaitable<void> Call::Conclude(bool may_have_run, Error error) {
  if (m_streaming || m_caller_gone) {
    LogFailure(error);
    Count(m_caller_gone ? "caller_gone" : "cut");
    m_exchange.Abort();
    co_return;
  }
  if (m_last_answer) {
    // A failure that a server signed is passed on as it is.
    LogFailure(error);
    Count("server_failure");
    co_await m_exchange.Respond(std::move(*m_last_answer));
    co_return;
  }
  if (!may_have_run) {
    if (error.code == ResultCode::kDeadlinePassed) {
      error.code = ResultCode::kNoServer;
    }
    m_retry_after = kRetryNoServer;
    error.execution = Execution::kNotRun;
    error.code = ResultCode::kNoServer;
    co_await Refuse(error);
    co_return;
  }
  error.execution = Execution::kUnknown;
  if (TimeLeft().count() == 0) error.code = ResultCode::kOutcomeUnknown;
  LogFailure(error);
  Count(std::string(Describe(error.code).name));
  co_await m_exchange.Respond(RefusalOf(error, Milliseconds(0)));
}

Awaitable<void> Call::Refuse(const Error& error) {
  LogEvent(Event::kRequestRefused,
           {{"request", m_request.id.Text()},
            {"code", std::to_string(static_cast<int>(error.code))},
            {"detail", error.detail},
            {"retry_after_ms", std::to_string(m_retry_after.count())}});
  Count(std::string(Describe(error.code).name));
  co_await m_exchange.Respond(RefusalOf(error, m_retry_after));
}

Awaitable<void> HandleCaller(Worker& worker, HttpExchange& exchange) {
  ++worker.InFlight();
  Call call(worker, exchange);
  co_await call.Run();
  --worker.InFlight();
}

}  // namespace cowslipknot::gateway
