#include <algorithm>

#include "protocol/hop_by_hop_fields.h"
#include "serve/gateway_call.h"

/// Forwards backend server responses to the caller.
namespace cowslipknot::gateway {
namespace {

/// Stall timeout of a resumable stream, in multiples of the route's allowed gap
/// between events. After it the server is considered lost and the stream fails
/// over.
constexpr int kStallEventGaps = 2;
constexpr Milliseconds kMinStallTimeout(500);
/// A response is slow when it takes longer than kSlowFactor times the predicted
/// time plus kSlowMarginMs.
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMs = 100;

/// Limits on the body of a response that declines a request: the caller waits
/// for another server meanwhile.
constexpr Milliseconds kDiscardTimeout(50);
constexpr std::size_t kMaxDiscardedBytes = 64 << 10;

}  // namespace

Awaitable<void> Call::DiscardBody(ResponseStream& stream) {
  const auto started = SteadyClock::now();
  std::size_t bytes = 0;
  while (bytes < kMaxDiscardedBytes) {
    const Milliseconds left = kDiscardTimeout - ElapsedSince(started);
    if (left.count() <= 0) co_return;
    const auto chunk = co_await stream.Read(left);
    if (!chunk || chunk->empty()) co_return;
    bytes += chunk->size();
  }
}

Awaitable<Result<std::string>> Call::ReadBody(ResponseStream& stream) {
  std::string body;
  while (true) {
    const Milliseconds time_left = TimeLeft();
    if (time_left.count() == 0) {
      co_return Fail(ResultCode::kBackendTimeout, "body", Execution::kUnknown);
    }
    auto chunk = co_await stream.Read(time_left);
    if (!chunk) co_return tl::make_unexpected(chunk.error());
    if (chunk->empty()) co_return body;
    body += *chunk;
  }
}

Awaitable<AttemptOutcome> Call::ForwardResponse(const Backend& server,
                                                ResponseStream& stream,
                                                Error& error) {
  HttpResponse response;
  response.base() = stream.Header();
  RemoveHopByHopFields(response);
  auto body = co_await ReadBody(stream);
  if (!body) {
    error = body.error();
    if (!m_caller_gone) RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  if (!m_start_recorded) RecordRequestStart();
  response.body() = std::move(*body);
  const bool failed = response.result_int() >= 500;
  RecordMoveEvidence(server, failed, IsSlow(m_attempt_sent));
  RecordPromptCompletion();
  if (failed) {
    server.state->RecordFailure(TimeSinceBoot());
  } else {
    server.state->RecordSuccess();
  }
  if (failed && m_route->Repeatable()) {
    error = Error{ResultCode::kBackendFailed,
                  std::to_string(response.result_int())};
    m_last_answer = std::move(response);
    co_return AttemptOutcome::kFailed;
  }
  LogDone(failed ? "server_failure" : "ok");
  co_await SendResponse(response);
  co_return AttemptOutcome::kAnswered;
}

Milliseconds Call::StallTimeout() const {
  if (!m_route->resumable) return m_route->timeout;
  return std::max(kMinStallTimeout, kStallEventGaps * m_route->max_event_gap);
}

Awaitable<AttemptOutcome> Call::ForwardEvents(const Backend& server,
                                              ResponseStream& stream,
                                              InFlightRequestGuard& guard,
                                              Error& error) {
  bool first = true;
  bool slow = false;
  std::uint64_t events_seen = m_events.FieldEventCount();
  auto last_event = SteadyClock::now();
  while (true) {
    const Milliseconds time_left = TimeLeft();
    if (time_left.count() == 0) {
      error = Error{ResultCode::kBackendTimeout, "stream"};
      co_return AttemptOutcome::kFailed;
    }
    const Milliseconds until_stalled =
        std::max(Milliseconds(1), StallTimeout() - ElapsedSince(last_event));
    const Milliseconds read_timeout =
        first ? time_left : std::min(time_left, until_stalled);
    auto chunk = co_await stream.Read(read_timeout);
    if (!chunk) {
      error = chunk.error();
      if (!m_caller_gone) RecordAttemptFailure(server, error);
      co_return AttemptOutcome::kFailed;
    }
    if (chunk->empty()) break;
    if (first) {
      first = false;
      last_event = SteadyClock::now();
      guard.OnFirstEvent();
      slow = IsSlow(m_attempt_sent);
      if (!m_start_recorded) RecordRequestStart();
    }
    const std::string events = m_events.Feed(*chunk);
    if (m_events.FieldEventCount() > events_seen) {
      events_seen = m_events.FieldEventCount();
      last_event = SteadyClock::now();
    }
    if (m_events.IsOverlong() || ElapsedSince(last_event) > StallTimeout()) {
      error = m_events.IsOverlong()
                  ? Error{ResultCode::kBackendMalformed, "event without end"}
                  : Error{ResultCode::kBackendTimeout, "bytes but no event"};
      RecordAttemptFailure(server, error);
      co_return AttemptOutcome::kFailed;
    }
    if (!events.empty() && !co_await WriteEvents(stream, events)) {
      m_caller_gone = true;
      error = Error{ResultCode::kInternal, "caller closed the connection"};
      co_return AttemptOutcome::kFailed;
    }
  }
  if (!m_events.PartialEvent().empty()) {
    error = Error{ResultCode::kBackendMalformed,
                  "ended in the middle of an event", Execution::kUnknown};
    RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  server.state->RecordSuccess();
  RecordMoveEvidence(server, false, slow);
  RecordPromptCompletion();
  if (!m_streaming && !co_await WriteEvents(stream, std::string())) {
    co_return AttemptOutcome::kAnswered;
  }
  const bool sent = co_await m_exchange.EndStream();
  if (sent) {
    LogDone("ok");
  } else {
    LogResponseNotSent();
  }
  co_return AttemptOutcome::kAnswered;
}

Awaitable<bool> Call::WriteEvents(ResponseStream& stream,
                                  const std::string& events) {
  if (!m_streaming) {
    HttpResponse header;
    header.base() = stream.Header();
    RemoveHopByHopFields(header);
    m_streaming = true;
    if (!co_await m_exchange.BeginStream(std::move(header))) co_return false;
  }
  if (events.empty()) co_return true;
  co_return co_await m_exchange.WriteChunk(events);
}

bool Call::IsSlow(SteadyClock::time_point sent) const {
  return ElapsedMsSince(sent) >
         kSlowFactor * m_placement.first_event_ms + kSlowMarginMs;
}

}  // namespace cowslipknot::gateway
