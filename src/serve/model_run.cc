#include "serve/model_run.h"

#include "cowslipknot/events.h"
#include "serve/attempt.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kNoReaderGrace(5000);
constexpr Milliseconds kCancelTimeout(1000);
constexpr int kSpanIdDigits = 16;

bool IsRetryable(const Error& error) {
  switch (error.code) {
    case ResultCode::kConnectFailed:
    case ResultCode::kBackendFailed:
    case ResultCode::kBackendMalformed:
    case ResultCode::kBackendTimeout:
    case ResultCode::kBackendRefused:
    case ResultCode::kDescriptorsExhausted:
    case ResultCode::kNoServer:
      return true;
    default:
      return false;
  }
}

}  // namespace

ModelRun::ModelRun(Worker& worker, RequestId id, WorkspaceId workspace,
                   Route route, ModelRequest request)
    : m_worker(worker),
      m_id(std::move(id)),
      m_workspace(std::move(workspace)),
      m_route(std::move(route)),
      m_request(std::move(request)),
      m_suspect(worker.Crashes(), m_id,
                SuspectsOf(m_workspace, m_route.name, "POST", m_request.path,
                           m_request.body)),
      m_changed(worker.Context()) {
  m_changed.expires_at(SteadyClock::time_point::max());
}

std::string ModelRun::Labels() const {
  return FormatLabel("route", m_route.name.Text());
}

ResponseInfo ModelRun::Info() const {
  ResponseInfo info;
  info.id = m_id.Text();
  info.model = m_request.model;
  info.chat = m_request.chat;
  info.prompt_tokens = m_request.cost.prompt.Count();
  return info;
}

void ModelRun::Finish(std::optional<Error> failure) {
  if (m_finished) return;
  m_finished = true;
  m_failure = std::move(failure);
  const std::string outcome =
      m_failure ? std::string(cowslipknot::Describe(m_failure->code).name)
                : "ok";
  m_worker.Metrics().Add("cowslipknot_requests_total",
                         Labels() + "," + FormatLabel("outcome", outcome));
  m_worker.Metrics().Observe("cowslipknot_request_ms", Labels(),
                             ElapsedSince(m_started));
  m_changed.cancel();
}

void ModelRun::HandOver() {
  m_handed_over = true;
  Finish(Error{ResultCode::kDraining, "the request continues at a peer",
               Execution::kUnknown});
}

void ModelRun::RemoveReader() {
  --m_readers;
  if (m_readers > 0 || m_finished || m_taken_over) return;
  Spawn(m_worker.Executor(), "wait for readers", CancelIfNoReaders());
}

void ModelRun::MarkDelivered() {
  if (m_backed_up && !m_handed_over) m_worker.Hooks().discard_backup(m_id);
  m_backed_up = false;
}

Awaitable<void> ModelRun::CancelIfNoReaders() {
  const auto self = shared_from_this();
  co_await SleepFor(kNoReaderGrace);
  if (m_readers == 0 && !m_finished) m_cancelled = true;
}

Awaitable<RunProgress> ModelRun::ReadBeyond(std::size_t position) {
  const auto self = shared_from_this();
  while (m_chunks.size() <= position && !m_finished) {
    co_await m_changed.async_wait(kAsTuple);
  }
  RunProgress progress;
  if (position < m_chunks.size()) {
    progress.chunks.assign(
        m_chunks.begin() + static_cast<std::ptrdiff_t>(position),
        m_chunks.end());
  }
  progress.finished = m_finished;
  progress.failure = m_failure;
  progress.finish_reason = m_finish_reason;
  co_return progress;
}

Descriptor ModelRun::Describe() const {
  Descriptor descriptor;
  descriptor.request = m_id.Text();
  descriptor.workspace = m_workspace.Text();
  descriptor.route = m_route.name.Text();
  descriptor.path = m_request.path;
  descriptor.body = m_request.body;
  descriptor.streaming = m_request.stream;
  descriptor.chat = m_request.chat;
  descriptor.tokens = m_chunks;
  descriptor.finish_reason = m_finish_reason;
  descriptor.server = m_server.Text();
  return descriptor;
}

void ModelRun::Restore(const Descriptor& descriptor) {
  m_chunks = descriptor.tokens;
  m_finish_reason = descriptor.finish_reason;
  m_taken_over = true;
}

void ModelRun::Start(TraceContext parent) {
  // Readers wait for the end of the run.
  Spawn(m_worker.Executor(), "run", Execute(std::move(parent)),
        [self = shared_from_this()] {
          self->Finish(Error{ResultCode::kInternal, "the run failed",
                             Execution::kUnknown});
        });
}

Awaitable<void> ModelRun::Execute(TraceContext parent) {
  const auto self = shared_from_this();
  if (HasCompleteAnswer()) {
    Finish(std::nullopt);
    co_return;
  }
  // A held request does not wait for others.
  const auto may_start = co_await AdmitSuspect();
  if (!may_start) {
    Finish(may_start.error());
    co_return;
  }
  m_worker.Retries().RecordRequest();
  AdmissionRequest admission;
  admission.workspace = m_workspace;
  admission.cost =
      TokenCount(m_request.cost.prompt.Count() + m_request.cost.output.Count());
  const auto& workspaces =
      m_worker.Snapshot().configuration->objects.workspaces;
  const auto workspace = workspaces.find(m_workspace);
  if (workspace != workspaces.end()) {
    admission.weight = workspace->second.weight;
  }
  admission.request_class = m_route.request_class;
  admission.arrived = NowWall();
  const bool interactive = m_route.request_class == RequestClass::kInteractive;
  const Milliseconds max_wait =
      interactive ? m_route.first_token_target : m_route.timeout;
  admission.deadline = WallTime(admission.arrived.Count() + max_wait.count());
  Span queue_span("queue", parent, m_worker.Random(), m_worker.Hooks().trace);
  auto ticket = co_await m_worker.Admit(admission);
  queue_span.End();
  if (!ticket) {
    Finish(ticket.error());
    co_return;
  }
  bool sent = false;
  while (!m_finished) {
    m_broke_off = false;
    auto outcome = co_await RunAttempt(parent);
    if (m_finished) break;
    if (outcome) {
      Finish(std::nullopt);
      break;
    }
    Error error = outcome.error();
    sent = sent || error.execution != Execution::kNotRun;
    if (sent) error.execution = Execution::kUnknown;
    const bool out_of_time = ElapsedSince(m_started) >= m_route.timeout;
    const bool give_up = m_cancelled || out_of_time || !IsRetryable(error) ||
                         EndsForLackOfServers(error, sent) ||
                         IsDisabled(m_worker.GetSettings(), "retry");
    if (give_up) {
      Finish(error);
      break;
    }
    if (m_broke_off) {
      const auto deadline = m_started + m_route.timeout;
      const bool may_repeat = co_await m_suspect.MayRepeat(deadline);
      if (!may_repeat) {
        Finish(error);
        break;
      }
    }
    if (error.code == ResultCode::kNoServer) m_tried.clear();
    m_worker.Metrics().Add("cowslipknot_retries_total", Labels());
    const bool retry_immediately =
        error.code != ResultCode::kNoServer && m_worker.Retries().TrySpend();
    if (!retry_immediately) co_await SleepFor(kRetryDelay);
  }
}

Awaitable<Result<void>> ModelRun::AdmitSuspect() {
  auto admitted = co_await m_suspect.Admit();
  // The instance that it was taken over from may have sent it.
  if (!admitted && m_taken_over)
    admitted.error().execution = Execution::kUnknown;
  co_return admitted;
}

void ModelRun::RecordFailure(const Attempt& attempt, const Error& error) {
  if (m_suspect.RecordFailure(attempt.server.record, error, attempt.sent_at))
    m_broke_off = true;
}

bool ModelRun::EndsForLackOfServers(const Error& error, bool sent) {
  if (error.code != ResultCode::kNoServer) return false;
  const bool all_pause =
      RetryDelayOfPause(m_worker, m_route.service, m_id).has_value();
  if (all_pause) return m_chunks.empty() && !m_taken_over;
  return m_tried.empty() && !sent;
}

Awaitable<Result<void>> ModelRun::SelectServer(Attempt& attempt) {
  RequestCost cost = m_request.cost;
  m_worker.MatchPrefix(cost);
  ServiceRequest request{m_route, m_id, cost, m_tried};
  auto choice = co_await ChooseWithPermit(m_worker, std::move(request));
  if (!choice) co_return tl::make_unexpected(choice.error());
  if (m_cancelled || m_finished)
    co_return Fail(ResultCode::kDraining, "cancelled");
  const bool first_selection =
      m_tried.empty() && m_chunks.empty() && !m_taken_over;
  const bool interactive = m_route.request_class == RequestClass::kInteractive;
  if (first_selection && interactive &&
      CannotMeetTarget(choice->selection, *choice->server.load,
                       m_route.first_token_target)) {
    co_return Fail(ResultCode::kTargetUnreachable);
  }
  attempt.server = std::move(choice->server);
  attempt.choice = std::move(choice->version);
  attempt.selection = choice->selection;
  attempt.in_flight = std::make_unique<InFlightGuard>(
      attempt.server.load, attempt.selection.uncached);
  attempt.id = m_id.Text() + "." + RandomHex(m_worker.Random(), kSpanIdDigits);
  m_tried.push_back(attempt.server.record.id);
  m_server = attempt.server.record.id;
  m_worker.RecordPrefix(cost, m_server);
  co_return Result<void>();
}

Awaitable<Result<void>> ModelRun::RunAttempt(const TraceContext& parent) {
  Attempt attempt;
  const auto admitted = co_await AdmitSuspect();
  if (!admitted) co_return tl::make_unexpected(admitted.error());
  const auto selected = co_await SelectServer(attempt);
  if (!selected) co_return tl::make_unexpected(selected.error());
  Span span("attempt", parent, m_worker.Random(), m_worker.Hooks().trace);
  span.SetAttribute("server", m_server.Text());
  span.SetAttribute("version", attempt.choice.version.Text());
  m_worker.Metrics().Add("cowslipknot_attempts_total", Labels());
  HttpRequest request = BuildEngineRequest(m_request, attempt.id, m_chunks);
  request.set("traceparent", FormatTraceparent(span.Context()));
  request.set("X-Priority",
              m_route.request_class == RequestClass::kInteractive ? "1" : "0");
  CallProgress progress;
  attempt.sent_at = TimeSinceBoot();
  auto opened = co_await m_worker.Http().Open(
      attempt.server.record.address, std::move(request),
      IdentifiedCall(attempt.id, m_route.stall_timeout, Reuse::kAllowed,
                     progress),
      progress);
  Result<void> outcome;
  if (!opened) {
    if (progress.reused_connection) {
      m_worker.Http().CloseIdle(attempt.server.record.address);
    }
    if (progress.first_byte_sent) RecordFailure(attempt, opened.error());
    outcome = tl::make_unexpected(opened.error());
  } else {
    attempt.has_framing = HasFraming((*opened)->Header());
    m_worker.RecordServerNotices(
        attempt.server, (*opened)->Header(),
        {attempt.id, attempt.sent_at, progress.header_read_at});
    outcome = CheckEngineHeader((*opened)->Header(), attempt.id, progress);
    if (outcome) outcome = co_await ReadAnswer(attempt, std::move(*opened));
  }
  if (outcome) m_suspect.RecordCompletion(attempt.sent_at);
  const bool failed = !outcome && !m_cancelled && !m_handed_over;
  const bool lacks_descriptor =
      !outcome && outcome.error().code == ResultCode::kDescriptorsExhausted;
  if (!lacks_descriptor)
    RecordAttempt(*attempt.server.load, !failed, NowWall());
  const bool refused =
      !outcome && outcome.error().code == ResultCode::kBackendRefused;
  if (m_cancelled || m_handed_over) CancelOnEngine(attempt);
  if (!m_cancelled && !m_handed_over && !refused && !lacks_descriptor) {
    RecordEvidence(attempt, failed);
  }
  if (failed) {
    LogEvent(Event::kAttemptFailed,
             {{"request", m_id.Text()},
              {"server", m_server.Text()},
              {"detail", outcome.error().detail},
              {"delivered", std::to_string(m_chunks.size())}});
  }
  co_return outcome;
}

void ModelRun::RecordEvidence(const Attempt& attempt, bool failed) {
  RecordMoveEvidence(m_worker.Evidence(), attempt.choice, m_route.name, failed,
                     attempt.slow);
}

void ModelRun::CancelOnEngine(const Attempt& attempt) {
  auto cancel = [](std::shared_ptr<ModelRun> run, ServerView server,
                   std::string id) -> Awaitable<void> {
    HttpRequest request(http::verb::delete_, "/v1/streams/" + id, 11);
    CallProgress progress;
    const auto sent_at = TimeSinceBoot();
    const auto answer = co_await run->m_worker.Http().Call(
        server.record.address, std::move(request), kCancelTimeout,
        Reuse::kAllowed, progress);
    if (!answer) co_return;
    run->m_worker.RecordServerNotices(server, answer->base(),
                                      {id, sent_at, progress.header_read_at});
  };
  Spawn(m_worker.Executor(), "cancel attempt",
        cancel(shared_from_this(), attempt.server, attempt.id));
}

}  // namespace cowslipknot
