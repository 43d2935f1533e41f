#include "cowslipknot/events.h"
#include "serve/gateway_call.h"

/// What a call leaves in logs, metrics, servers' states and evidence.
namespace cowslipknot::gateway {
namespace {

/// Prompt tokens a model server computes a millisecond beside a batch.
constexpr double kPromptTokensPerMs = 50;

}  // namespace

void Call::Count(const std::string& outcome) {
  const std::string labels =
      Label("route", m_route == nullptr ? "" : m_route->name.Text());
  m_worker.Metrics().Add("cowslipknot_requests_total",
                         labels + "," + Label("outcome", outcome));
  m_worker.Metrics().Observe("cowslipknot_request_ms", labels,
                             Since(m_started));
}

void Call::LogAttempt(const Backend& server) const {
  LogEvent(
      Event::kAttemptStarted,
      {{"request", m_request.id.Text()},
       {"server", server.entry.id.Text()},
       {"attempt", std::to_string(m_tried.size())},
       {"route", m_route->name.Text()},
       {"revision", std::to_string(m_snapshot->configuration->version)},
       {"uncached", std::to_string(m_placement.uncached.Count())},
       {"predicted_ms",
        std::to_string(static_cast<std::int64_t>(m_placement.first_event_ms))},
       {"left_ms", std::to_string(TimeLeft().count())}});
}

void Call::LogDone(const char* outcome) {
  Count(outcome);
  LogEvent(Event::kRequestDone,
           {{"request", m_request.id.Text()},
            {"server", m_tried.back().Text()},
            {"outcome", outcome},
            {"events", std::to_string(m_events.Events())},
            {"after_ms", std::to_string(Since(m_started).count())}});
}

void Call::LogFailure(const Error& error) {
  LogEvent(Event::kRequestFailed,
           {{"request", m_request.id.Text()},
            {"server", m_tried.empty() ? "" : m_tried.back().Text()},
            {"code", std::to_string(static_cast<int>(error.code))},
            {"detail", error.detail},
            {"caller_gone", m_caller_gone ? "true" : "false"},
            {"events", std::to_string(m_events.Events())},
            {"after_ms", std::to_string(Since(m_started).count())}});
}

void Call::NoteFailure(const Backend& server, const Error& error) {
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

void Call::NoteEvidence(const Backend& server, bool failed, bool slow) {
  if (m_move_key.Empty()) return;
  RouteEvidence& seen = m_worker.Evidence()[m_move_key][m_route->name];
  const bool is_new = server.entry.version == m_new_version;
  Tally& errors = is_new ? seen.new_errors : seen.old_errors;
  Tally& slows = is_new ? seen.new_slow : seen.old_slow;
  errors += Tally{1, failed ? 1U : 0U};
  slows += Tally{1, slow ? 1U : 0U};
}

void Call::NoteBegan() {
  m_counted = true;
  if (m_workspace != nullptr) m_worker.NoteBegan(m_workspace->name);
}

void Call::NotePromptLoad(const Backend& server) {
  if (!server.is_model) return;
  const auto prompt = static_cast<double>(m_placement.uncached.Count());
  m_worker.Load().Note(server.entry.service, prompt / kPromptTokensPerMs,
                       BootTime());
}

void Call::NoteStreamLoad(const Backend& server,
                          SteadyClock::time_point begun) {
  if (!server.is_model) return;
  const double places = std::max<double>(1, server.entry.slots);
  m_worker.Load().Note(server.entry.service, FractionalMsSince(begun) / places,
                       BootTime());
}

}  // namespace cowslipknot::gateway
