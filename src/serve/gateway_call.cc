#include <xxhash.h>

#include "cowslipknot/events.h"
#include "protocol/connection_fields.h"
#include "protocol/event_splitter.h"
#include "serve/backend_load.h"
#include "serve/gateway_worker.h"
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
/// Prompt tokens a model server computes a millisecond beside a batch.
constexpr double kPromptTokensPerMs = 50;
/// Silence of a stream, in pauses that are still in time, after which its
/// server is taken for lost where the stream can go on elsewhere.
constexpr int kStallPauses = 2;
constexpr Milliseconds kLeastStall(500);

/// An answer is slow when it takes this many times the predicted time, and
/// this much longer.
constexpr double kSlowTimes = 3;
constexpr double kSlowMargin = 100;

/// How one attempt ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,     ///< the caller has an answer, or is gone
  kNotExecuted,  ///< the request did not run
  kFailed,       ///< the request may have run
};

/// One caller's request, from its header to the end of its answer.
class Call {
 public:
  Call(Worker& worker, HttpExchange& exchange)
      : m_worker(worker),
        m_exchange(exchange),
        m_snapshot(worker.GetSnapshot()) {}

  Awaitable<void> Run() {
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

 private:
  Milliseconds TimeLeft() const {
    const auto left = std::chrono::duration_cast<Milliseconds>(
        m_deadline - SteadyClock::now());
    return std::max(left, Milliseconds(0));
  }

  bool IsModelCall() const { return m_request.prompt.has_value(); }

  Awaitable<void> Refuse(const Error& error) {
    LogEvent(Event::kRequestRefused,
             {{"request", m_request.id.Text()},
              {"code", std::to_string(static_cast<int>(error.code))},
              {"detail", error.detail},
              {"retry_after_ms", std::to_string(m_retry_after.count())}});
    Count(std::string(Describe(error.code).name));
    co_await m_exchange.Respond(RefusalOf(error, m_retry_after));
  }

  void Count(const std::string& outcome) {
    const std::string labels =
        Label("route", m_route == nullptr ? "" : m_route->name.Text());
    m_worker.Metrics().Add("cowslipknot_requests_total",
                           labels + "," + Label("outcome", outcome));
    m_worker.Metrics().Observe("cowslipknot_request_ms", labels,
                               Since(m_started));
  }

  /// Picks a server among those known now, which may be others than when the
  /// request came.
  Result<Backend> Choose() {
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

  /// The servers of the version that a move gives this request, or all where
  /// that has none.
  const std::vector<Backend>& ServersOfVersion(
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

  /// Counts an answer for the move that its service is in.
  void NoteEvidence(const Backend& server, bool failed, bool slow) {
    if (m_move_key.Empty()) return;
    RouteEvidence& seen = m_worker.Evidence()[m_move_key][m_route->name];
    const bool is_new = server.entry.version == m_new_version;
    Tally& errors = is_new ? seen.new_errors : seen.old_errors;
    Tally& slows = is_new ? seen.new_slow : seen.old_slow;
    errors += Tally{1, failed ? 1U : 0U};
    slows += Tally{1, slow ? 1U : 0U};
  }

  /// Whether an answer took several times longer than predicted.
  bool IsSlow(SteadyClock::time_point sent) const {
    return FractionalMsSince(sent) >
           kSlowTimes * m_placement.first_event_ms + kSlowMargin;
  }

  HttpRequest BuildAttempt(const Backend& server) const {
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

  Awaitable<void> RunAttempts() {
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

  /// Ends a request that no server answered whole.
  Awaitable<void> Conclude(bool may_have_run, Error error) {
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

  void LogAttempt(const Backend& server) const {
    LogEvent(Event::kAttemptStarted,
             {{"request", m_request.id.Text()},
              {"server", server.entry.id.Text()},
              {"attempt", std::to_string(m_tried.size())},
              {"route", m_route->name.Text()},
              {"revision", std::to_string(m_snapshot->configuration->version)},
              {"uncached", std::to_string(m_placement.uncached.Count())},
              {"predicted_ms", std::to_string(static_cast<std::int64_t>(
                                   m_placement.first_event_ms))},
              {"left_ms", std::to_string(TimeLeft().count())}});
  }

  void LogDone(const char* outcome) {
    Count(outcome);
    LogEvent(Event::kRequestDone,
             {{"request", m_request.id.Text()},
              {"server", m_tried.back().Text()},
              {"outcome", outcome},
              {"events", std::to_string(m_events.Events())},
              {"after_ms", std::to_string(Since(m_started).count())}});
  }

  void LogFailure(const Error& error) {
    LogEvent(Event::kRequestFailed,
             {{"request", m_request.id.Text()},
              {"server", m_tried.empty() ? "" : m_tried.back().Text()},
              {"code", std::to_string(static_cast<int>(error.code))},
              {"detail", error.detail},
              {"caller_gone", m_caller_gone ? "true" : "false"},
              {"events", std::to_string(m_events.Events())},
              {"after_ms", std::to_string(Since(m_started).count())}});
  }

  Awaitable<AttemptEnd> Attempt(const Backend& server, Error& error) {
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

  void NoteFailure(const Backend& server, const Error& error) {
    const bool ran = error.code != ResultCode::kBackendRefused &&
                     error.code != ResultCode::kConnectFailed;
    if (ran) NoteEvidence(server, true, false);
    server.state->NoteFailure(BootTime());
    const bool silent = error.code == ResultCode::kConnectFailed ||
                        error.code == ResultCode::kBackendTimeout;
    if (silent) server.state->NoteUnreachable(BootTime());
    LogEvent(Event::kAttemptFailed,
             {{"request", m_request.id.Text()},
              {"server", server.entry.id.Text()},
              {"code", std::to_string(static_cast<int>(error.code))},
              {"reused", m_progress.reused_connection ? "true" : "false"},
              {"detail", error.detail}});
  }

  Awaitable<Result<std::string>> ReadAll(ResponseStream& stream) {
    std::string body;
    while (true) {
      const Milliseconds left = TimeLeft();
      if (left.count() == 0) {
        co_return Fail(ResultCode::kBackendTimeout, "body",
                       Execution::kUnknown);
      }
      auto piece = co_await stream.Read(left);
      if (!piece) co_return tl::make_unexpected(piece.error());
      if (piece->empty()) co_return body;
      body += *piece;
    }
  }

  /// Passes an answer on once it is whole.
  Awaitable<AttemptEnd> PassWhole(const Backend& server, ResponseStream& stream,
                                  Error& error) {
    HttpResponse response;
    response.base() = stream.Header();
    RemoveConnectionFields(response);
    auto body = co_await ReadAll(stream);
    if (!body) {
      error = body.error();
      if (!m_caller_gone) NoteFailure(server, error);
      co_return AttemptEnd::kFailed;
    }
    if (!m_counted) NoteBegan();
    response.body() = std::move(*body);
    const bool failed = response.result_int() >= 500;
    NoteEvidence(server, failed, IsSlow(m_sent));
    if (failed) {
      server.state->NoteFailure(BootTime());
    } else {
      server.state->NoteSuccess();
    }
    if (failed && m_route->Repeatable()) {
      error = Error{ResultCode::kBackendFailed,
                    std::to_string(response.result_int())};
      m_last_answer = std::move(response);
      co_return AttemptEnd::kFailed;
    }
    LogDone(failed ? "server_failure" : "ok");
    co_await m_exchange.Respond(std::move(response));
    co_return AttemptEnd::kAnswered;
  }

  void NoteBegan() {
    m_counted = true;
    if (m_workspace != nullptr) m_worker.NoteBegan(m_workspace->name);
  }

  /// Notes the time of a model server that computing the prompt takes.
  void NotePromptLoad(const Backend& server) {
    if (!server.is_model) return;
    const auto prompt = static_cast<double>(m_placement.uncached.Count());
    m_worker.Load().Note(server.entry.service, prompt / kPromptTokensPerMs,
                         BootTime());
  }

  /// Notes the part of a model server's time that one place of its batch took.
  void NoteStreamLoad(const Backend& server, SteadyClock::time_point begun) {
    if (!server.is_model) return;
    const double places = std::max<double>(1, server.entry.slots);
    m_worker.Load().Note(server.entry.service,
                         FractionalMsSince(begun) / places, BootTime());
  }

  /// Longest silence within a stream before it goes on elsewhere.
  Milliseconds Stall() const {
    if (!m_route->resumable) return m_route->timeout;
    return std::max(kLeastStall, kStallPauses * m_route->event_gap);
  }

  /// Passes whole events on as they come.
  Awaitable<AttemptEnd> PassEvents(const Backend& server,
                                   ResponseStream& stream, BackendLoad& load,
                                   Error& error) {
    bool first = true;
    bool slow = false;
    while (true) {
      const Milliseconds left = TimeLeft();
      if (left.count() == 0) {
        error = Error{ResultCode::kBackendTimeout, "stream"};
        co_return AttemptEnd::kFailed;
      }
      const Milliseconds patience = first ? left : std::min(left, Stall());
      auto piece = co_await stream.Read(patience);
      if (!piece) {
        error = piece.error();
        if (!m_caller_gone) NoteFailure(server, error);
        co_return AttemptEnd::kFailed;
      }
      if (piece->empty()) break;
      if (first) {
        first = false;
        load.NoteFirstEvent();
        slow = IsSlow(m_sent);
        if (!m_counted) NoteBegan();
      }
      const std::string events = m_events.Feed(*piece);
      if (!events.empty() && !co_await PassOn(stream, events)) {
        m_caller_gone = true;
        error = Error{ResultCode::kInternal, "the caller is gone"};
        co_return AttemptEnd::kFailed;
      }
    }
    if (!m_events.Rest().empty()) {
      error = Error{ResultCode::kBackendMalformed, "ended within an event"};
      NoteFailure(server, error);
      co_return AttemptEnd::kFailed;
    }
    server.state->NoteSuccess();
    NoteEvidence(server, false, slow);
    if (!m_streaming && !co_await PassOn(stream, std::string())) {
      co_return AttemptEnd::kAnswered;
    }
    co_await m_exchange.EndStream();
    LogDone("ok");
    co_return AttemptEnd::kAnswered;
  }

  /// @return false when the caller is gone
  Awaitable<bool> PassOn(ResponseStream& stream, const std::string& events) {
    if (!m_streaming) {
      HttpResponse header;
      header.base() = stream.Header();
      RemoveConnectionFields(header);
      m_streaming = true;
      if (!co_await m_exchange.BeginStream(std::move(header))) co_return false;
    }
    if (events.empty()) co_return true;
    co_return co_await m_exchange.WriteChunk(events);
  }

  Worker& m_worker;
  HttpExchange& m_exchange;
  SnapshotPtr m_snapshot;
  CallerRequest m_request;
  const Route* m_route = nullptr;
  const Workspace* m_workspace = nullptr;
  SteadyClock::time_point m_started = SteadyClock::now();
  SteadyClock::time_point m_deadline{};
  Milliseconds m_retry_after{0};
  CallProgress m_progress;
  Placement m_placement;
  MoveId m_move_key;  ///< undecided move of the service; empty without one
  VersionId m_new_version;
  SteadyClock::time_point m_sent{};  ///< the latest attempt
  std::vector<ServerId> m_tried;
  EventSplitter m_events;
  std::optional<HttpResponse> m_last_answer;
  bool m_reached = false;  ///< an attempt's bytes may have reached a server
  bool m_streaming = false;
  bool m_counted = false;
  bool m_caller_gone = false;
};

}  // namespace

Awaitable<void> HandleCaller(Worker& worker, HttpExchange& exchange) {
  ++worker.InFlight();
  Call call(worker, exchange);
  co_await call.Run();
  --worker.InFlight();
}

}  // namespace cowslipknot::gateway
