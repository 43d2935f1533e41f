#include "cowslipknot/events.h"
#include "serve/gateway_call.h"

/// Reports to the prompt guard how a server dealt with the prompt of a call.
namespace cowslipknot::gateway {
namespace {

/// Whether a complete response with this header shows that its prompt is
/// harmless. The end of a body without framing may also be a crash.
bool ShowsHarmlessPrompt(const http::response_header<>& header) {
  const bool is_framed =
      header.find(http::field::content_length) != header.end() ||
      header.find(http::field::transfer_encoding) != header.end();
  return is_framed && http::to_status_class(header.result()) ==
                          http::status_class::successful;
}

/// Whether the connection ended in the middle of the exchange.
bool IsBreakOff(const Error& error) {
  return error.execution == Execution::kUnknown &&
         (error.code == ResultCode::kBackendFailed ||
          error.code == ResultCode::kBackendMalformed);
}

}  // namespace

void Call::OnResponseHeader(const http::response_header<>& header) {
  m_shows_harmless_prompt = ShowsHarmlessPrompt(header);
}

void Call::RecordPromptCompletion() {
  if (!m_shows_harmless_prompt || m_request.prompt_parts.empty()) return;
  m_worker.Prompts().OnCompleted(SharedPartsOf(m_request.prompt_parts),
                                 m_prompt_sent);
}

void Call::RecordPromptBreakOff(const Backend& server, AttemptOutcome end,
                                const Error& error) {
  const bool broke_off = end == AttemptOutcome::kFailed && !IsAborted() &&
                         m_progress.first_byte_sent && IsBreakOff(error);
  if (!broke_off) return;
  m_worker.Prompts().OnBreakOff(server.entry,
                                SharedPartsOf(m_request.prompt_parts));
}

bool Call::MayRetryPrompt() const {
  const bool may =
      m_worker.Prompts().MayRetry(SharedPartsOf(m_request.prompt_parts));
  if (!may) {
    LogEvent(Event::kRetryWithheld, {{"request", m_request.id.Text()}});
  }
  return may;
}

}  // namespace cowslipknot::gateway
