#include "serve/gateway_call.h"

#include <xxhash.h>

#include <algorithm>

#include "cowslipknot/events.h"
#include "serve/error_response.h"
#include "serve/request_admission.h"

namespace cowslipknot::gateway {
namespace {

/// Connect timeout; a server that takes longer counts as unreachable.
constexpr Milliseconds kConnectTimeout(250);
/// Maximum idle time of a pooled connection. The server may have closed an
/// older connection without the client noticing, so a request that must not be
/// repeated has a lower limit.
constexpr Milliseconds kNonRepeatableMaxIdle(2000);
constexpr Milliseconds kMaxIdle(8000);
/// The request is rejected after this many attempts that were not executed.
constexpr std::uint32_t kMaxRejections = 3;
/// Time between attempts to resume a stream that no server accepts now.
constexpr Milliseconds kResumeRetryDelay(200);
/// Largest (least urgent) priority value that model servers support.
constexpr std::uint32_t kMaxPriority = 9;
/// By how much a request is less urgent than others of its route that can still
/// be on time.
constexpr std::uint32_t kLatePriorityOffset = 5;

/// Whether a response is a stream of events or does not state what it is.
bool MayHoldEvents(const http::response_header<>& header) {
  constexpr std::string_view kEventStream = "text/event-stream";
  const std::string_view type = header[http::field::content_type];
  return type.empty() ||
         beast::iequals(type.substr(0, kEventStream.size()), kEventStream);
}

/// Whether the status of a result promises that the request did not run.
bool PromisesNotRun(ResultCode code) {
  return Describe(code).http_status ==
         static_cast<std::uint16_t>(http::status::service_unavailable);
}

/// Ends the tracking of an attempt that has no result.
class TrackedAttempt {
 public:
  TrackedAttempt(VersionEvidence& evidence, std::uint64_t attempt)
      : m_evidence(evidence), m_attempt(attempt) {}
  TrackedAttempt(const TrackedAttempt&) = delete;
  TrackedAttempt& operator=(const TrackedAttempt&) = delete;
  ~TrackedAttempt() { m_evidence.Forget(m_attempt, TimeSinceBoot()); }

 private:
  VersionEvidence& m_evidence;
  std::uint64_t m_attempt;
};

}  // namespace

Awaitable<void> Call::Run() {
  const StopSchedule::Subscription stop(m_worker.Stop(), [this] {
    m_stopped = true;
    AbortAttempt();
  });
  AdmissionResult admission =
      co_await AdmitRequest(m_worker, *m_snapshot, m_exchange.Request());
  m_request = std::move(admission.request);
  m_suspects = std::move(admission.suspects);
  m_route = admission.route;
  m_workspace = admission.workspace;
  m_retry_after = admission.retry_after;
  m_age = admission.age;
  m_deadline = m_started + admission.response_timeout;
  if (admission.rejection) {
    co_await Reject(*admission.rejection);
    co_return;
  }
  if (m_route->resumable && m_request.last_event_id) {
    m_events.ResumeAfter(*m_request.last_event_id);
  }
  m_exchange.OnPeerDisconnect([this] {
    m_caller_gone = true;
    AbortAttempt();
  });
  co_await RunAttemptLoop();
}

void Call::AbortAttempt() {
  if (m_progress.abort) m_progress.abort();
}

Milliseconds Call::TimeLeft() const {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(m_deadline - SteadyClock::now());
  return std::max(left, Milliseconds(0));
}

std::uint64_t Call::RequestHash() const {
  return XXH3_64bits(m_request.id.Text().data(), m_request.id.Text().size());
}

HttpRequest Call::BuildAttemptRequest(const Backend& server) const {
  HttpRequest request = m_exchange.Request();
  request.version(11);
  AttemptFields fields;
  fields.server = server.entry.id;
  if (m_workspace != nullptr) fields.workspace = m_workspace->name;
  fields.time_left = TimeLeft();
  if (IsModelCall()) {
    const bool waits =
        m_worker.Room().WaitsBehind(*m_route, server.entry.service, m_age);
    fields.priority = std::min(
        kMaxPriority, m_route->priority + (waits ? kLatePriorityOffset : 0));
  }
  fields.last_event_id =
      m_events.LastId() ? m_events.LastId() : m_request.last_event_id;
  m_worker.GetAdapter().prepare_attempt_header(request, m_request, fields);
  return request;
}

Awaitable<void> Call::WaitToResume() {
  m_excluded_servers.clear();
  co_await SleepFor(std::min(kResumeRetryDelay, TimeLeft()));
}

Awaitable<void> Call::RunAttemptLoop() {
  m_worker.Retries().RecordRequest();
  std::uint32_t rejections = 0;
  Error last{ResultCode::kNoServer};
  while (!IsAborted()) {
    if (TimeLeft().count() == 0) {
      last.code = ResultCode::kDeadlinePassed;
      break;
    }
    if (m_executed == 0 && !m_worker.MayEndBeforeStop(*m_route, TimeLeft())) {
      co_await RejectForStop();
      co_return;
    }
    // A refused attempt has crashed nothing.
    if (m_executed > 0 && !co_await MayRepeat()) break;
    const auto server = co_await AcquireServer();
    if (IsAborted() || TimeLeft().count() == 0) continue;
    if (!server && m_tried_servers.empty()) last = server.error();
    if (!server || !TrySpendRetry()) {
      if (!m_streaming) break;
      co_await WaitToResume();
      continue;
    }
    const Backend& chosen = *server;
    const AttemptOutcome end = co_await RunAttempt(chosen, last);
    RecordBreakOff(chosen, end, last);
    if (end == AttemptOutcome::kAnswered) co_return;
    if (end == AttemptOutcome::kNotExecuted) {
      if (++rejections % kMaxRejections != 0) continue;
      if (!m_streaming) break;
      co_await WaitToResume();
      continue;
    }
    ++m_executed;
    const bool may_retry =
        m_route->Repeatable() && m_executed < m_route->max_attempts;
    if (!may_retry) break;
  }
  co_await FinishWithoutAnswer(m_executed > 0, last);
}

Awaitable<AttemptOutcome> Call::RunAttempt(const Backend& server,
                                           Error& error) {
  m_tried_servers.push_back(server.entry.id);
  m_excluded_servers.push_back(server.entry.id);
  m_events.DiscardPartialEvent();
  InFlightRequestGuard guard(server.state, m_placement, m_request.prompt_parts);
  RecordPromptLoad(server);
  if (server.is_model) {
    m_worker.AnnouncePrompt(server.entry.id, m_placement.uncached);
  }
  m_room_attempt.emplace(m_worker.Room(), *m_route, server.entry.service);
  LogAttempt(server);
  m_worker.Metrics().Add("cowslipknot_attempts_total",
                         FormatLabel("route", m_route->name.Text()));
  CallOptions options;
  options.timeout = TimeLeft();
  options.connect_timeout = kConnectTimeout;
  options.request_id = m_request.id.Text();
  options.max_idle = m_route->Repeatable() ? kMaxIdle : kNonRepeatableMaxIdle;
  options.is_own_response = [this](const http::response_header<>& header) {
    return IsOwn(header);
  };
  // The server may leave while the request waits for a connection.
  bool is_withheld = false;
  options.may_send = [&server, &is_withheld] {
    is_withheld = !server.state->MayGetRequests(TimeSinceBoot());
    return !is_withheld;
  };
  const auto started = SteadyClock::now();
  m_attempt_sent = TimeSinceBoot();
  m_answer_progress = AnswerProgress();
  m_delays.OnSent(started);
  m_tracked_attempt = TrackAttempt(server);
  const TrackedAttempt tracked(m_worker.Evidence(), m_tracked_attempt);
  m_progress = CallProgress();
  auto opened = co_await m_worker.Http().Open(
      server.entry.address, BuildAttemptRequest(server), options, m_progress);
  if (m_progress.first_byte_sent) m_reached_server = true;
  if (!opened) {
    m_progress.abort = nullptr;
    if (m_progress.reused_connection && !is_withheld) {
      m_worker.Http().CloseIdle(server.entry.address);
    }
    error = is_withheld ? Error{ResultCode::kBackendRefused,
                                "takes no requests since it was selected"}
                        : opened.error();
    if (!IsAborted()) RecordAttemptFailure(server, error);
    co_return m_progress.first_byte_sent ? AttemptOutcome::kFailed
                                         : AttemptOutcome::kNotExecuted;
  }
  const auto& header = (*opened)->Header();
  OnResponseHeader(header);
  RecordServerNotices(server, header);
  const ResponseUse use = Classify(header);
  if (use == ResponseUse::kRefusal) {
    error =
        Error{ResultCode::kBackendRefused, std::to_string(header.result_int())};
    m_room_attempt->OnRefused();
    co_await DiscardBody(**opened);
    m_progress.abort = nullptr;
    RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kNotExecuted;
  }
  if (use == ResponseUse::kUnusable) {
    m_progress.abort = nullptr;
    error = Error{ResultCode::kBackendMalformed,
                  "unusable response " + std::to_string(header.result_int())};
    RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  AttemptOutcome end = AttemptOutcome::kFailed;
  if (use == ResponseUse::kEvents) {
    end = co_await ForwardEvents(server, **opened, guard, error);
    RecordStreamLoad(server, started);
  } else {
    m_room_attempt->OnFirstEvent();
    end = co_await ForwardResponse(server, **opened, error);
  }
  m_progress.abort = nullptr;
  co_return end;
}

bool Call::IsOwn(const http::response_header<>& header) const {
  const auto response = m_worker.GetAdapter().decode_backend_response(header);
  ResponseId id = ResponseId::kAbsent;
  if (!response.id.Empty()) {
    id = response.id == m_request.id ? ResponseId::kOwn : ResponseId::kOther;
  }
  if (IsOwnResponse(id, m_progress.reused_connection)) return true;
  LogEvent(Event::kResponseSkipped,
           {{"request", m_request.id.Text()},
            {"server", m_tried_servers.back().Text()},
            {"status", std::to_string(header.result_int())},
            {"response_to", response.id.Text()}});
  return false;
}

ResponseUse Call::Classify(const http::response_header<>& header) const {
  const auto response = m_worker.GetAdapter().decode_backend_response(header);
  ResponseHead head;
  head.status = header.result_int();
  head.is_signed = response.is_signed;
  head.not_executed = response.not_executed;
  head.may_hold_events = MayHoldEvents(header);
  AwaitedResponse awaited;
  awaited.is_stream = m_route->kind == RouteKind::kStream;
  awaited.stream_begun = m_streaming;
  awaited.is_repeatable = m_route->Repeatable();
  return ClassifyResponse(head, awaited);
}

Awaitable<void> Call::FinishWithoutAnswer(bool may_have_run, Error error) {
  if (m_streaming || m_caller_gone) {
    if (TimeLeft().count() == 0) RecordDuration();
    LogFailure(error);
    RecordOutcome(m_caller_gone ? "caller_gone" : "cut");
    m_exchange.Abort();
    co_return;
  }
  if (m_last_answer) {
    // A signed failure response of a server is forwarded unchanged.
    LogFailure(error);
    RecordOutcome("server_failure");
    co_await SendResponse(*m_last_answer);
    co_return;
  }
  if (!may_have_run && m_stopped) {
    co_await RejectForStop();
    co_return;
  }
  if (!may_have_run) {
    m_retry_after = NoServerRetryDelay();
    error.execution = Execution::kNotRun;
    if (error.code != ResultCode::kDescriptorsExhausted)
      error.code = ResultCode::kNoServer;
    co_await Reject(error);
    co_return;
  }
  error.execution = Execution::kUnknown;
  if (TimeLeft().count() == 0 || m_stopped) {
    error.code = ResultCode::kOutcomeUnknown;
  } else if (PromisesNotRun(error.code)) {
    // True of the last attempt only.
    error.code = ResultCode::kBackendFailed;
  }
  RecordDuration();
  LogFailure(error);
  RecordOutcome(std::string(Describe(error.code).name));
  HttpResponse response = MakeErrorResponse(error, Milliseconds(0));
  co_await SendResponse(response);
}

Awaitable<void> Call::RejectForStop() {
  m_retry_after = kStopRetryDelay;
  const Error error{ResultCode::kDraining};
  co_await Reject(error);
}

Awaitable<void> Call::Reject(const Error& error) {
  LogEvent(Event::kRequestRefused,
           {{"request", m_request.id.Text()},
            {"code", std::to_string(static_cast<int>(error.code))},
            {"detail", error.detail},
            {"retry_after_ms", std::to_string(m_retry_after.count())}});
  RecordOutcome(std::string(Describe(error.code).name));
  HttpResponse response = MakeErrorResponse(error, m_retry_after);
  co_await SendResponse(response);
}

Awaitable<void> Call::SendResponse(HttpResponse& response) {
  const bool sent = co_await m_exchange.Respond(std::move(response));
  if (!sent) LogResponseNotSent();
}

void Call::LogResponseNotSent() {
  LogFailure(Error{ResultCode::kInternal, "the response could not be sent"});
}

Awaitable<void> HandleCaller(Worker& worker, HttpExchange& exchange) {
  Call call(worker, exchange);
  co_await call.Run();
}

}  // namespace cowslipknot::gateway
