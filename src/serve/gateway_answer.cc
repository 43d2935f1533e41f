#include <algorithm>

#include "protocol/connection_fields.h"
#include "serve/gateway_call.h"

/// Servers' answers on their way to the caller.
namespace cowslipknot::gateway {
namespace {

/// Silence of a stream, in pauses that are still in time, after which its
/// server is taken for lost where the stream can go on elsewhere.
constexpr int kStallPauses = 2;
constexpr Milliseconds kLeastStall(500);
/// An answer is slow when it takes this many times the predicted time, and
/// this much longer.
constexpr double kSlowTimes = 3;
constexpr double kSlowMargin = 100;

}  // namespace

Awaitable<Result<std::string>> Call::ReadAll(ResponseStream& stream) {
  std::string body;
  while (true) {
    const Milliseconds left = TimeLeft();
    if (left.count() == 0) {
      co_return Fail(ResultCode::kBackendTimeout, "body", Execution::kUnknown);
    }
    auto piece = co_await stream.Read(left);
    if (!piece) co_return tl::make_unexpected(piece.error());
    if (piece->empty()) co_return body;
    body += *piece;
  }
}

Awaitable<AttemptEnd> Call::PassWhole(const Backend& server,
                                      ResponseStream& stream, Error& error) {
  HttpResponse response;
  response.base() = stream.Header();
  RemoveConnectionFields(response);
  auto body = co_await ReadAll(stream);
  if (!body) {
    error = body.error();
    if (!m_caller_gone) NoteFailure(server, error);
    co_return AttemptEnd::kFailed;
  }
  if (!m_counted) NoteBegan();
  response.body() = std::move(*body);
  const bool failed = response.result_int() >= 500;
  NoteEvidence(server, failed, IsSlow(m_sent));
  if (failed) {
    server.state->NoteFailure(BootTime());
  } else {
    server.state->NoteSuccess();
  }
  if (failed && m_route->Repeatable()) {
    error = Error{ResultCode::kBackendFailed,
                  std::to_string(response.result_int())};
    m_last_answer = std::move(response);
    co_return AttemptEnd::kFailed;
  }
  LogDone(failed ? "server_failure" : "ok");
  co_await m_exchange.Respond(std::move(response));
  co_return AttemptEnd::kAnswered;
}

Milliseconds Call::Stall() const {
  if (!m_route->resumable) return m_route->timeout;
  return std::max(kLeastStall, kStallPauses * m_route->event_gap);
}

Awaitable<AttemptEnd> Call::PassEvents(const Backend& server,
                                       ResponseStream& stream,
                                       BackendLoad& load, Error& error) {
  bool first = true;
  bool slow = false;
  while (true) {
    const Milliseconds left = TimeLeft();
    if (left.count() == 0) {
      error = Error{ResultCode::kBackendTimeout, "stream"};
      co_return AttemptEnd::kFailed;
    }
    const Milliseconds patience = first ? left : std::min(left, Stall());
    auto piece = co_await stream.Read(patience);
    if (!piece) {
      error = piece.error();
      if (!m_caller_gone) NoteFailure(server, error);
      co_return AttemptEnd::kFailed;
    }
    if (piece->empty()) break;
    if (first) {
      first = false;
      load.NoteFirstEvent();
      slow = IsSlow(m_sent);
      if (!m_counted) NoteBegan();
    }
    const std::string events = m_events.Feed(*piece);
    if (!events.empty() && !co_await PassOn(stream, events)) {
      m_caller_gone = true;
      error = Error{ResultCode::kInternal, "the caller is gone"};
      co_return AttemptEnd::kFailed;
    }
  }
  if (!m_events.Rest().empty()) {
    error = Error{ResultCode::kBackendMalformed, "ended within an event"};
    NoteFailure(server, error);
    co_return AttemptEnd::kFailed;
  }
  server.state->NoteSuccess();
  NoteEvidence(server, false, slow);
  if (!m_streaming && !co_await PassOn(stream, std::string())) {
    co_return AttemptEnd::kAnswered;
  }
  co_await m_exchange.EndStream();
  LogDone("ok");
  co_return AttemptEnd::kAnswered;
}

Awaitable<bool> Call::PassOn(ResponseStream& stream,
                             const std::string& events) {
  if (!m_streaming) {
    HttpResponse header;
    header.base() = stream.Header();
    RemoveConnectionFields(header);
    m_streaming = true;
    if (!co_await m_exchange.BeginStream(std::move(header))) co_return false;
  }
  if (events.empty()) co_return true;
  co_return co_await m_exchange.WriteChunk(events);
}

bool Call::IsSlow(SteadyClock::time_point sent) const {
  return FractionalMsSince(sent) >
         kSlowTimes * m_placement.first_event_ms + kSlowMargin;
}

}  // namespace cowslipknot::gateway
