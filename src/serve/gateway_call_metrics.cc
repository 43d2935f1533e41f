#include <sstream>

#include "cowslipknot/events.h"
#include "cowslipknot/gateway/server_pause.h"
#include "serve/gateway_call.h"

/// Updates logs, metrics, backend states and move evidence for a call.
namespace cowslipknot::gateway {
namespace {

/// Prompt tokens that a model server prefills per millisecond while it decodes
/// a batch.
constexpr double kPromptTokensPerMs = 50;

/// Parts of a prompt that are logged.
constexpr std::size_t kMaxLoggedParts = 8;

/// The whole request, as in the events of a quarantine.
std::string FormatHash(const SuspectId& request) {
  std::ostringstream text;
  text << std::hex << request.value;
  return text.str();
}

/// The ids of the parts that other requests may share: all but the last one.
std::string FormatSharedParts(const std::vector<PromptPart>& parts) {
  std::ostringstream text;
  for (std::size_t i = 0; i + 1 < parts.size() && i < kMaxLoggedParts; ++i) {
    text << (i > 0 ? "," : "") << std::hex << parts[i].id;
  }
  return text.str();
}

}  // namespace

void Call::RecordOutcome(const std::string& outcome) {
  const std::string labels =
      FormatLabel("route", m_route == nullptr ? "" : m_route->name.Text());
  m_worker.Metrics().Add("cowslipknot_requests_total",
                         labels + "," + FormatLabel("outcome", outcome));
  m_worker.Metrics().Observe("cowslipknot_request_ms", labels,
                             ElapsedSince(m_started));
}

void Call::LogAttempt(const Backend& server) const {
  LogEvent(
      Event::kAttemptStarted,
      {{"request", m_request.id.Text()},
       {"server", server.entry.id.Text()},
       {"attempt", std::to_string(m_tried_servers.size())},
       {"route", m_route->name.Text()},
       {"revision", std::to_string(m_snapshot->configuration->version)},
       {"uncached", std::to_string(m_placement.uncached.Count())},
       {"predicted_ms",
        std::to_string(static_cast<std::int64_t>(m_placement.first_event_ms))},
       {"left_ms", std::to_string(TimeLeft().count())}});
}

void Call::RecordDuration() {
  m_worker.Durations().Record(m_route->name, ElapsedSince(m_started),
                              TimeSinceBoot());
}

void Call::LogDone(const char* outcome) {
  RecordOutcome(outcome);
  RecordDuration();
  LogEvent(Event::kRequestDone,
           {{"request", m_request.id.Text()},
            {"server", m_tried_servers.back().Text()},
            {"outcome", outcome},
            {"events", std::to_string(m_events.EventCount())},
            {"after_ms", std::to_string(ElapsedSince(m_started).count())}});
}

void Call::RecordLateness(const Backend& server) {
  const StreamDelays& delays = m_delays.Delays();
  const LateCause cause = FindLateCause(*m_route, delays);
  if (cause == LateCause::kNone) return;
  const std::string label(Describe(cause));
  m_worker.Metrics().Add("cowslipknot_late_streams_total",
                         FormatLabel("route", m_route->name.Text()) + "," +
                             FormatLabel("cause", label));
  LogEvent(Event::kStreamLate,
           {{"request", m_request.id.Text()},
            {"server", server.entry.id.Text()},
            {"cause", label},
            {"before_send_ms", std::to_string(delays.before_send.count())},
            {"before_first_ms", std::to_string(delays.before_first.count())},
            {"server_pause_ms", std::to_string(delays.server_pause.count())},
            {"link_pause_ms", std::to_string(delays.link_pause.count())},
            {"resume_pause_ms", std::to_string(delays.resume_pause.count())},
            {"held_ms", std::to_string(delays.held.count())}});
}

void Call::LogFailure(const Error& error) {
  LogEvent(
      Event::kRequestFailed,
      {{"request", m_request.id.Text()},
       {"server", m_tried_servers.empty() ? "" : m_tried_servers.back().Text()},
       {"code", std::to_string(static_cast<int>(error.code))},
       {"detail", error.detail},
       {"caller_gone", m_caller_gone ? "true" : "false"},
       {"events", std::to_string(m_events.EventCount())},
       {"after_ms", std::to_string(ElapsedSince(m_started).count())}});
}

void Call::LogStall(const Backend& server, Milliseconds silence) {
  LogEvent(Event::kStreamStalled,
           {{"request", m_request.id.Text()},
            {"server", server.entry.id.Text()},
            {"silent_ms", std::to_string(silence.count())},
            {"executed", std::to_string(m_executed)},
            {"left_ms", std::to_string(TimeLeft().count())}});
}

void Call::RecordAttemptFailure(const Backend& server, const Error& error) {
  const bool server_to_blame = error.code != ResultCode::kDescriptorsExhausted;
  const bool ran = server_to_blame &&
                   error.code != ResultCode::kBackendRefused &&
                   error.code != ResultCode::kConnectFailed;
  if (ran) m_worker.Evidence().OnEnd(m_tracked_attempt, true, TimeSinceBoot());
  if (server_to_blame) server.state->RecordFailure(TimeSinceBoot());
  const bool unreachable = error.code == ResultCode::kConnectFailed ||
                           error.code == ResultCode::kBackendTimeout;
  if (unreachable) {
    server.state->RecordUnreachable(TimeSinceBoot());
    m_worker.Permits().OnUnreachable(server);
  }
  LogEvent(Event::kAttemptFailed,
           {{"request", m_request.id.Text()},
            {"server", server.entry.id.Text()},
            {"code", std::to_string(static_cast<int>(error.code))},
            {"reused", m_progress.reused_connection ? "true" : "false"},
            {"attempt", std::to_string(m_tried_servers.size())},
            {"answer_begun", m_progress.response_started ? "true" : "false"},
            {"parts", FormatSharedParts(m_request.prompt_parts)},
            {"request_hash", FormatHash(m_suspects.back())},
            {"detail", error.detail}});
}

std::uint64_t Call::TrackAttempt(const Backend& server) {
  SentAttempt attempt;
  attempt.move = m_move_key;
  attempt.service = server.entry.service;
  attempt.route = m_route->name;
  attempt.is_new = !m_move_key.Empty() && server.entry.version == m_new_version;
  attempt.work = m_placement.work;
  return m_worker.Evidence().OnSent(attempt, TimeSinceBoot());
}

void Call::RecordRequestStart() {
  m_start_recorded = true;
  if (m_workspace != nullptr) m_worker.RecordRequestStart(m_workspace->name);
}

void Call::RecordPromptLoad(const Backend& server) {
  if (!server.is_model) return;
  const auto prompt = static_cast<double>(m_placement.uncached.Count());
  m_worker.Load().Record(server.entry.service, prompt / kPromptTokensPerMs,
                         TimeSinceBoot());
}

void Call::RecordStreamLoad(const Backend& server,
                            SteadyClock::time_point begun) {
  if (!server.is_model) return;
  const double batch_slots = std::max<double>(1, server.entry.slots);
  m_worker.Load().Record(server.entry.service,
                         ElapsedMsSince(begun) / batch_slots, TimeSinceBoot());
}

std::optional<LimitStatement> Call::ReadLimit(const Backend& server,
                                              const BackendResponse& response) {
  LimitStatement statement;
  statement.sent = m_attempt_sent;
  statement.read = m_progress.header_read_at;
  if (!response.limit_per_s) {
    // Only the process that ran the request says that there is no limit.
    if (!response.is_signed) return std::nullopt;
    return statement;
  }
  const auto reading = BoundLimit(*response.limit_per_s);
  if (!reading || reading->is_adjusted) LogOddLimit(server, response);
  if (!reading) return std::nullopt;
  statement.limit = reading->limit;
  return statement;
}

void Call::LogOddLimit(const Backend& server, const BackendResponse& response) {
  const auto reading = BoundLimit(*response.limit_per_s);
  if (!m_worker.Permits().ShouldLogOddLimit(server.entry.id)) return;
  LogEvent(reading ? Event::kLimitAdjusted : Event::kLimitUnreadable,
           {{"server", server.entry.id.Text()},
            {"request", m_request.id.Text()},
            {"stated_per_s", std::to_string(*response.limit_per_s)}});
}

AnswerTimes Call::AttemptTimes() const {
  AnswerTimes times;
  times.opened = m_progress.connection_opened_at;
  times.sent = std::max(m_attempt_sent, times.opened);
  times.read = TimeSinceBoot();
  return times;
}

void Call::RecordServerNotices(const Backend& server,
                               const http::response_header<>& header) {
  const auto response = m_worker.GetAdapter().decode_backend_response(header);
  ProcessNotice notice;
  notice.times = AttemptTimes();
  const Backend process = m_worker.ProcessOf(server, notice.times);
  notice.is_leaving = response.is_leaving;
  notice.limit = ReadLimit(process, response);
  if (response.retry_after_s) {
    const ServerPause pause = BoundPause(*response.retry_after_s);
    notice.paused_until = TimeSinceBoot() + pause.length;
    LogPause(process, *response.retry_after_s, pause);
  }
  m_worker.ApplyNotice(process, notice);
  process.state->Notices().Add(notice);
}

void Call::RecordFirstEvent(const Backend& server,
                            InFlightRequestGuard& guard) {
  ProcessNotice notice;
  notice.excess_wait_ms = guard.OnFirstEvent();
  notice.times = AttemptTimes();
  server.state->Notices().Add(notice);
  m_room_attempt->OnFirstEvent();
  if (!m_start_recorded) RecordRequestStart();
}

void Call::LogPause(const Backend& server, double stated_s,
                    const ServerPause& pause) {
  m_worker.Metrics().Add("cowslipknot_server_pauses_total",
                         FormatLabel("service", server.entry.service.Text()));
  LogEvent(pause.is_adjusted ? Event::kPauseAdjusted : Event::kServerPaused,
           {{"server", server.entry.id.Text()},
            {"request", m_request.id.Text()},
            {"stated_s", std::to_string(stated_s)},
            {"pause_ms", std::to_string(pause.length.count())},
            {"age_ms", FormatAgeMs(m_progress.header_read_at)}});
}

}  // namespace cowslipknot::gateway
