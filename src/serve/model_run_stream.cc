#include "cowslipknot/coordination/server_pause.h"
#include "cowslipknot/events.h"
#include "protocol/server_notices.h"
#include "serve/attempt.h"

// Reads the answer of a model run: applies its events and resumes an
// interrupted stream on the same server.
namespace cowslipknot {

Result<void> CheckEngineHeader(const http::response_header<>& header,
                               const std::string& attempt,
                               const CallProgress& progress) {
  const auto status = header.result_int();
  const bool is_ambiguous =
      progress.reused_connection &&
      !DecodeServerNotices(header, attempt).answers_request;
  if (is_ambiguous) {
    return Fail(ResultCode::kBackendMalformed,
                "response on a used connection carries no id",
                Execution::kUnknown);
  }
  if (status == 200) {
    if (header["X-Request-Id"] != attempt) {
      return Fail(ResultCode::kBackendMalformed,
                  "response carries the id of another attempt",
                  Execution::kUnknown);
    }
    return {};
  }
  if (status == 503 && DecodeServerNotices(header, attempt).is_leaving) {
    return Fail(ResultCode::kBackendRefused, "the server is leaving");
  }
  if (status >= 500 || status == 429) {
    return Fail(ResultCode::kBackendFailed, "status " + std::to_string(status),
                Execution::kUnknown);
  }
  return Fail(ResultCode::kMalformedRequest,
              "the engine answered " + std::to_string(status));
}

Result<bool> ModelRun::ApplyEvents(Attempt& attempt, std::string_view bytes,
                                   SseParser& parser) {
  auto events = parser.Feed(bytes);
  if (!events) return tl::make_unexpected(events.error());
  bool grew = false;
  for (const auto& raw : *events) {
    const auto event = ParseEngineEvent(raw);
    if (!event) return tl::make_unexpected(event.error());
    if (event->done) continue;
    if (event->recomputed_tokens > 0) {
      m_worker.Metrics().Add("cowslipknot_recomputed_tokens_total", Labels(),
                             event->recomputed_tokens);
    }
    RecordQueueReport(*attempt.server.load, TokenCount(event->queue_tokens),
                      NowWall());
    if (!event->finish_reason.empty()) m_finish_reason = event->finish_reason;
    if (event->text.empty()) continue;
    if (event->index < m_chunks.size()) {
      m_worker.Metrics().Add("cowslipknot_late_tokens_total", Labels());
      continue;
    }
    if (event->index > m_chunks.size()) {
      return Fail(ResultCode::kBackendMalformed,
                  "event index skips ahead in the stream", Execution::kUnknown);
    }
    m_chunks.push_back(event->text);
    grew = true;
  }
  return grew;
}

void ModelRun::RecordFirstOutput(Attempt& attempt) {
  if (attempt.has_output) return;
  attempt.has_output = true;
  attempt.in_flight->ReleaseTokens();
  const TokenCount work(attempt.selection.queue.Count() +
                        attempt.selection.uncached.Count());
  RecordFirstToken(*attempt.server.load, work, ElapsedSince(attempt.started));
}

Awaitable<Result<void>> ModelRun::ReadAnswer(
    Attempt& attempt, std::unique_ptr<ResponseStream> stream) {
  SseParser parser;
  auto last_output = SteadyClock::now();
  while (!m_cancelled && !m_finished) {
    auto data = co_await stream->Read(m_route.stall_timeout);
    if (!data) {
      if (HasCompleteAnswer()) co_return Result<void>();
      RecordFailure(attempt, data.error());
      const bool may_reconnect =
          !IsDisabled(m_worker.GetSettings(), "silent_links") &&
          !IsPaused(*attempt.server.load, TimeSinceBoot()) &&
          ElapsedSince(m_started) < m_route.timeout;
      if (!may_reconnect) co_return tl::make_unexpected(data.error());
      stream.reset();
      m_worker.Http().CloseIdle(attempt.server.record.address);
      co_return co_await ReconnectStream(attempt);
    }
    if (data->empty()) break;
    const std::size_t before = m_chunks.size();
    const auto grew = ApplyEvents(attempt, *data, parser);
    if (!grew) co_return tl::make_unexpected(grew.error());
    if (!*grew) continue;
    RecordFirstOutput(attempt);
    if (!m_first_token_recorded) {
      m_first_token_recorded = true;
      const Milliseconds first = ElapsedSince(m_started);
      m_worker.Metrics().Observe("cowslipknot_first_token_ms", Labels(), first);
      attempt.slow = ElapsedSince(attempt.started) > m_route.first_token_target;
    } else {
      const auto new_chunks =
          static_cast<std::int64_t>(m_chunks.size() - before);
      m_worker.Metrics().Observe("cowslipknot_between_tokens_ms", Labels(),
                                 ElapsedSince(last_output) / new_chunks);
    }
    last_output = SteadyClock::now();
    m_changed.cancel();
  }
  if (m_cancelled || m_finished) {
    co_return Fail(ResultCode::kDraining, "cancelled", Execution::kUnknown);
  }
  if (!HasCompleteAnswer() &&
      !IsDisabled(m_worker.GetSettings(), "completeness")) {
    const Error error{ResultCode::kBackendFailed,
                      "the response ended before the finish reason",
                      Execution::kUnknown};
    // Without framing, this is how a crash looks.
    if (!attempt.has_framing) RecordFailure(attempt, error);
    co_return tl::make_unexpected(error);
  }
  co_return Result<void>();
}

Awaitable<bool> ModelRun::WaitForPermit(ServerView server) {
  const auto started = SteadyClock::now();
  while (!m_cancelled && !m_finished) {
    const bool permitted = co_await m_worker.AcquirePermit(server);
    if (permitted) co_return true;
    if (ElapsedSince(started) >= m_route.stall_timeout) break;
    co_await SleepFor(kRetryDelay);
  }
  co_return false;
}

Awaitable<Result<void>> ModelRun::ReconnectStream(Attempt& attempt) {
  const bool no_progress = attempt.last_resume_position == m_chunks.size();
  attempt.last_resume_position = m_chunks.size();
  if (no_progress) co_await SleepFor(kRetryDelay);
  const bool permitted = co_await WaitForPermit(attempt.server);
  if (!permitted) {
    co_return Fail(ResultCode::kBackendFailed,
                   "the server's limit leaves no room to resume the stream",
                   Execution::kUnknown);
  }
  HttpRequest request(
      http::verb::get,
      "/v1/streams/" + attempt.id + "?from=" + std::to_string(m_chunks.size()),
      11);
  CallProgress progress;
  const auto sent_at = TimeSinceBoot();
  auto opened = co_await m_worker.Http().Open(
      attempt.server.record.address, std::move(request),
      WithTimeout(m_route.stall_timeout, Reuse::kNewOnly), progress);
  if (!opened) co_return tl::make_unexpected(opened.error());
  attempt.has_framing = HasFraming((*opened)->Header());
  m_worker.RecordServerNotices(attempt.server, (*opened)->Header(),
                               {attempt.id, sent_at, progress.header_read_at});
  const auto checked =
      CheckEngineHeader((*opened)->Header(), attempt.id, progress);
  if (!checked) {
    co_return Fail(ResultCode::kBackendFailed, "the stream no longer exists",
                   Execution::kUnknown);
  }
  m_worker.Metrics().Add("cowslipknot_streams_resumed_total", Labels());
  LogEvent(Event::kRequestResumed, {{"request", m_id.Text()},
                                    {"server", m_server.Text()},
                                    {"from", std::to_string(m_chunks.size())}});
  co_return co_await ReadAnswer(attempt, std::move(*opened));
}

}  // namespace cowslipknot
