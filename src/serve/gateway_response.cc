#include <algorithm>
#include <utility>

#include "protocol/hop_by_hop_fields.h"
#include "serve/gateway_call.h"

/// Forwards backend server responses to the caller.
namespace cowslipknot::gateway {
namespace {

/// Time between checks whether a silent server can be left for another.
constexpr Milliseconds kStallCheckInterval(100);

/// Limits on the body of a response that declines a request: the caller waits
/// for another server meanwhile.
constexpr Milliseconds kDiscardTimeout(50);
constexpr std::size_t kMaxDiscardedBytes = 64 << 10;

/// The server may have stopped after its response header: neither a length nor
/// chunks tell.
Error MakeNoBodyError() {
  return Error{ResultCode::kBackendMalformed,
               "connection ended before a body of unknown length",
               Execution::kUnknown};
}

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
    const std::size_t kept = m_last_answer ? m_last_answer->body().size() : 0;
    if (!m_body_memory.Resize(body.capacity() + kept)) {
      co_return Fail(ResultCode::kBackendFailed, "no memory left for the body",
                     Execution::kUnknown);
    }
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
    if (!IsAborted()) RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  if (body->empty() && stream.EndsWithConnection()) {
    error = MakeNoBodyError();
    RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  if (!m_start_recorded) RecordRequestStart();
  response.body() = std::move(*body);
  const bool failed = response.result_int() >= 500;
  m_worker.Evidence().OnEnd(m_tracked_attempt, failed, TimeSinceBoot());
  RecordCompletion(server);
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

bool Call::MayResumeElsewhere() const {
  return m_route->resumable && m_executed + 1 < m_route->max_attempts &&
         m_worker.Retries().HasRetry() && HasOtherServer();
}

Awaitable<Result<std::string>> Call::ReadEvents(ResponseStream& stream,
                                                const Backend& server,
                                                const StreamGapMeter& meter) {
  while (true) {
    const Milliseconds until_stall =
        SilenceTimeout(*m_route) - meter.Gap(SteadyClock::now()).since_event;
    const Milliseconds wait = std::max(until_stall, kStallCheckInterval);
    auto piece = co_await stream.Read(std::min(wait, TimeLeft()));
    const bool timed_out =
        !piece && piece.error().code == ResultCode::kBackendTimeout;
    if (!timed_out || TimeLeft().count() == 0) co_return piece;
    const StreamGap gap = meter.Gap(SteadyClock::now());
    if (!IsStalled(*m_route, gap)) continue;
    if (DecideStall(*m_route, gap, MayResumeElsewhere()) ==
        StallAction::kResume) {
      co_return piece;
    }
    if (!std::exchange(m_stall_logged, true)) LogStall(server, gap.since_event);
  }
}

Awaitable<AttemptOutcome> Call::ForwardEvents(const Backend& server,
                                              ResponseStream& stream,
                                              InFlightRequestGuard& guard,
                                              Error& error) {
  bool first = true;
  const std::uint64_t events_before = m_events.FieldEventCount();
  std::uint64_t events_seen = events_before;
  StreamGapMeter meter(m_route->max_event_gap, SteadyClock::now());
  while (true) {
    const Milliseconds time_left = TimeLeft();
    if (time_left.count() == 0) {
      error = Error{ResultCode::kBackendTimeout, "stream"};
      co_return AttemptOutcome::kFailed;
    }
    Result<std::string> chunk;
    if (first) {
      chunk = co_await stream.Read(time_left);
    } else {
      chunk = co_await ReadEvents(stream, server, meter);
    }
    if (!chunk) {
      error = chunk.error();
      if (!IsAborted()) RecordAttemptFailure(server, error);
      co_return AttemptOutcome::kFailed;
    }
    if (chunk->empty()) break;
    if (first) {
      first = false;
      meter = StreamGapMeter(m_route->max_event_gap, SteadyClock::now());
      RecordFirstEvent(server, guard);
    }
    const std::string events = m_events.Feed(*chunk);
    const bool complete_event = m_events.FieldEventCount() > events_seen;
    if (complete_event) {
      m_stall_logged = false;
      RecordProgress();
      m_delays.OnEvents(m_events.FieldEventCount() - events_seen,
                        SteadyClock::now());
      events_seen = m_events.FieldEventCount();
      m_worker.Evidence().OnEvents(
          m_tracked_attempt, events_seen - events_before, TimeSinceBoot());
    }
    const auto now = SteadyClock::now();
    meter.OnBytes(now, complete_event);
    const bool stalled =
        IsStalled(*m_route, meter.Gap(now)) &&
        DecideStall(*m_route, meter.Gap(now), MayResumeElsewhere()) ==
            StallAction::kResume;
    const bool too_long =
        m_events.IsOverlong() ||
        !m_event_memory.Resize(m_events.PartialEvent().size());
    if (too_long || stalled) {
      error = too_long
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
    if (complete_event) m_delays.OnWritten(SteadyClock::now());
    if (m_events.IsOutOfOrder()) {
      error = Error{ResultCode::kBackendMalformed, "event out of order"};
      RecordAttemptFailure(server, error);
      co_return AttemptOutcome::kFailed;
    }
  }
  if (first && stream.EndsWithConnection()) {
    error = MakeNoBodyError();
    RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  if (!m_events.PartialEvent().empty()) {
    error = Error{ResultCode::kBackendMalformed,
                  "ended in the middle of an event", Execution::kUnknown};
    RecordAttemptFailure(server, error);
    co_return AttemptOutcome::kFailed;
  }
  server.state->RecordSuccess();
  m_worker.Evidence().OnEnd(m_tracked_attempt, false, TimeSinceBoot());
  RecordCompletion(server);
  if (!m_streaming && !co_await WriteEvents(stream, std::string())) {
    co_return AttemptOutcome::kAnswered;
  }
  const bool sent = co_await m_exchange.EndStream();
  if (sent) {
    RecordLateness(server);
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

}  // namespace cowslipknot::gateway
