#include "cowslipknot/events.h"
#include "serve/gateway_call.h"

/// Reports to the crash guard how a server dealt with the request of a call.
namespace cowslipknot::gateway {
namespace {

/// Time between questions whether a server has crashed.
constexpr Milliseconds kCheckPollInterval(20);

/// Whether a complete response with this header shows that its request crashes
/// no server. The end of a body without framing may also be a crash, and a
/// model server may fail before it begins to answer the prompt.
bool ShowsHarmless(const http::response_header<>& header, bool is_model_call) {
  return HasFraming(header) &&
         (!is_model_call || http::to_status_class(header.result()) ==
                                http::status_class::successful);
}

}  // namespace

void Call::OnResponseHeader(const http::response_header<>& header) {
  m_shows_harmless = ShowsHarmless(header, IsModelCall());
}

void Call::RecordCompletion() {
  if (!m_shows_harmless) return;
  m_worker.Crashes().OnCompleted(m_suspects, m_attempt_sent);
}

void Call::RecordBreakOff(const Backend& server, AttemptOutcome end,
                          const Error& error) {
  const bool broke_off = end == AttemptOutcome::kFailed && !IsAborted() &&
                         m_progress.first_byte_sent && IsBreakOff(error);
  if (!broke_off) return;
  const ServerBoot boot{server.entry.id, server.entry.started_ms};
  m_worker.Crashes().OnBreakOff(boot, server.entry.address, m_suspects);
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
