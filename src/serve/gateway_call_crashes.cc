#include "cowslipknot/events.h"
#include "serve/gateway_call.h"

/// Reports to the crash guard how a server dealt with the request of a call.
namespace cowslipknot::gateway {
namespace {

/// Time between questions whether a server has crashed.
constexpr Milliseconds kCheckPollInterval(20);

/// What a complete response with this header shows. A model server may fail
/// before it begins to answer the prompt.
ResponseEvidence EvidenceOf(const http::response_header<>& header,
                            bool is_model_call) {
  if (is_model_call && http::to_status_class(header.result()) !=
                           http::status_class::successful) {
    return ResponseEvidence::kNone;
  }
  return HasFraming(header) ? ResponseEvidence::kHarmless
                            : ResponseEvidence::kHarmlessIfServerRuns;
}

ServerBoot BootOf(const ServerEntry& server) {
  return {server.id, server.started_ms};
}

}  // namespace

void Call::OnResponseHeader(const http::response_header<>& header) {
  m_response_evidence = EvidenceOf(header, IsModelCall());
}

void Call::RecordCompletion(const Backend& server) {
  CrashGuard& crashes = m_worker.Crashes();
  if (m_response_evidence == ResponseEvidence::kHarmless) {
    crashes.OnCompleted(m_suspects, m_attempt_sent);
  } else if (m_response_evidence == ResponseEvidence::kHarmlessIfServerRuns) {
    crashes.OnUnframedEnd(BootOf(server.entry), server.entry.address,
                          m_suspects, m_attempt_sent);
  }
}

void Call::RecordProgress() {
  const bool is_harmless = m_response_evidence != ResponseEvidence::kNone &&
                           m_answer_progress.OnReceived(TimeSinceBoot());
  if (is_harmless) m_worker.Crashes().OnProgress(m_suspects, m_attempt_sent);
}

void Call::RecordBreakOff(const Backend& server, AttemptOutcome end,
                          const Error& error) {
  const bool broke_off = end == AttemptOutcome::kFailed && !IsAborted() &&
                         m_progress.first_byte_sent && IsBreakOff(error);
  // A server that leaves, or has left the registry, ends as planned, also under
  // a request.
  const Backend process = m_worker.ProcessOf(server, AttemptTimes());
  const bool is_planned = process.state->IsLeaving() || !IsListed(process);
  if (!broke_off || is_planned) return;
  const AnswerStage stage = m_answer_progress.IsHarmless()
                                ? AnswerStage::kInProgress
                                : AnswerStage::kBegun;
  m_worker.Crashes().OnBreakOffOfListed(BootOf(process.entry),
                                        process.entry.address, m_suspects,
                                        m_attempt_sent, stage);
}

bool Call::IsListed(const Backend& server) const {
  const SnapshotPtr latest = m_worker.GetSnapshot();
  const auto servers = latest->servers.find(server.entry.service);
  return servers != latest->servers.end() &&
         std::ranges::any_of(servers->second, [&server](const auto& listed) {
           return listed.entry.id == server.entry.id;
         });
}

Awaitable<bool> Call::MayRepeat() {
  const CrashGuard& crashes = m_worker.Crashes();
  while (!crashes.MayRetry(m_suspects)) {
    const bool may_change = crashes.IsCheckPending(m_suspects) &&
                            TimeLeft().count() > 0 && !IsAborted();
    if (!may_change) {
      LogEvent(Event::kRetryWithheld, {{"request", m_request.id.Text()}});
      co_return false;
    }
    co_await SleepFor(std::min(kCheckPollInterval, TimeLeft()));
  }
  co_return true;
}

}  // namespace cowslipknot::gateway
