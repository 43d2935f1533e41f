#include "serve/plain_call.h"

#include <xxhash.h>

#include "coordination/claim_writer.h"
#include "cowslipknot/events.h"
#include "protocol/server_notices.h"
#include "serve/attempt.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kRetryDelay(100);
constexpr Milliseconds kClaimPollInterval(200);
constexpr std::size_t kMaxStoredBody = 32 << 10;
constexpr int kClaimTokenDigits = 32;

const http::field kForwardedHeaders[] = {
    http::field::content_type, http::field::accept,
    http::field::accept_language, http::field::if_match,
    http::field::if_none_match};

/// A server that is leaving rejects requests without executing them. An answer
/// without an id may be a copy of one to an earlier request of its connection.
bool IsLeavingRefusal(const HttpResponse& response, const RequestId& id,
                      const CallProgress& progress) {
  const auto notices = DecodeServerNotices(response.base(), id.Text());
  return response.result() == http::status::service_unavailable &&
         notices.is_leaving &&
         (notices.answers_request || !progress.reused_connection);
}

/// The response to one attempt, and how far the request was sent.
struct AttemptOutcome {
  Result<HttpResponse> answer;
  CallProgress progress;
  bool broke_off = false;
};

class PlainCall {
 public:
  PlainCall(Worker& worker, PlainRequest request)
      : m_worker(worker),
        m_request(std::move(request)),
        m_suspect(worker.Crashes(), m_request.id, m_request.suspects) {}

  Awaitable<Result<HttpResponse>> Run() {
    Result<HttpResponse> outcome = Fail(ResultCode::kInternal);
    if (m_request.route.repeatable) {
      outcome = co_await RunRepeatable();
    } else {
      outcome = co_await RunAtMostOnce();
    }
    const std::string name =
        outcome ? "ok" : std::string(Describe(outcome.error().code).name);
    m_worker.Metrics().Add("cowslipknot_requests_total",
                           Labels() + "," + FormatLabel("outcome", name));
    m_worker.Metrics().Observe("cowslipknot_request_ms", Labels(),
                               ElapsedSince(m_started));
    co_return outcome;
  }

 private:
  std::string Labels() const {
    return FormatLabel("route", m_request.route.name.Text());
  }

  SteadyClock::time_point Deadline() const {
    return m_started + m_request.route.timeout;
  }

  Milliseconds TimeLeft() const {
    const auto left = std::chrono::duration_cast<Milliseconds>(
        Deadline() - SteadyClock::now());
    return std::max(left, Milliseconds(0));
  }

  HttpRequest BuildRequest(const TraceContext& span) const {
    HttpRequest wire(m_request.http.method(), m_request.http.target(), 11);
    for (const auto field : kForwardedHeaders) {
      const auto value = m_request.http[field];
      if (!value.empty()) wire.set(field, value);
    }
    wire.set("X-Request-Id", m_request.id.Text());
    if (!m_request.idempotency_key.empty()) {
      wire.set("Idempotency-Key", m_request.idempotency_key);
    }
    wire.set("traceparent", FormatTraceparent(span));
    wire.body() = m_request.http.body();
    return wire;
  }

  ServiceRequest MakeServiceRequest() const {
    return {m_request.route, m_request.id, RequestCost(), m_tried};
  }

  bool AllPause() {
    return RetryDelayOfPause(m_worker, m_request.route.service, m_request.id)
        .has_value();
  }

  Awaitable<AttemptOutcome> Attempt(const ServerChoice& choice, Reuse reuse) {
    Span span("attempt", m_request.parent, m_worker.Random(),
              m_worker.Hooks().trace);
    span.SetAttribute("server", choice.server.record.id.Text());
    m_tried.push_back(choice.server.record.id);
    const InFlightGuard guard(choice.server.load, TokenCount(0));
    m_worker.Metrics().Add("cowslipknot_attempts_total", Labels());
    const Endpoint address = choice.server.record.address;
    const auto started = SteadyClock::now();
    CallProgress progress;
    AnsweredRequest answered{m_request.id.Text(), TimeSinceBoot()};
    progress.on_header = [&](const http::response_header<>& header) {
      answered.read_at = progress.header_read_at;
      m_worker.RecordServerNotices(choice.server, header, answered);
    };
    CallOptions options =
        IdentifiedCall(m_request.id.Text(), TimeLeft(), reuse, progress);
    auto answer = co_await m_worker.Http().Call(
        address, BuildRequest(span.Context()), std::move(options), progress);
    if (!answer && progress.reused_connection) {
      m_worker.Http().CloseIdle(address);
    }
    progress.on_header = nullptr;
    const bool broke_off =
        !answer && progress.first_byte_sent &&
        m_suspect.RecordFailure(choice.server.record, answer.error(),
                                answered.sent_at);
    const bool refused =
        answer && IsLeavingRefusal(*answer, m_request.id, progress);
    if (refused) {
      answer = Fail(ResultCode::kBackendRefused, "the server is leaving");
      progress.first_byte_sent = false;
    }
    const bool asks_for_pause =
        answer &&
        DecodeServerNotices(answer->base(), m_request.id.Text()).retry_after_s;
    if (asks_for_pause && m_request.route.repeatable) {
      answer = Fail(ResultCode::kBackendRefused, "the server asks for a pause",
                    Execution::kUnknown);
    }
    if (answer && (*answer)["X-Request-Id"] != m_request.id.Text()) {
      answer = Fail(ResultCode::kBackendMalformed,
                    "response carries the id of another request",
                    Execution::kUnknown);
    }
    const bool is_pause = asks_for_pause && answer &&
                          answer->result() == http::status::service_unavailable;
    if (answer && !is_pause && HasFraming(answer->base()))
      m_suspect.RecordCompletion(answered.sent_at);
    const bool failed = !answer || answer->result_int() >= 500;
    const bool lacks_descriptor =
        !answer && answer.error().code == ResultCode::kDescriptorsExhausted;
    if (!lacks_descriptor)
      RecordAttempt(*choice.server.load, !failed, NowWall());
    if (!refused && !lacks_descriptor) {
      RecordMoveEvidence(
          m_worker.Evidence(), choice.version, m_request.route.name, failed,
          ElapsedSince(started) > m_request.route.first_token_target);
    }
    if (!answer) {
      LogEvent(Event::kAttemptFailed,
               {{"request", m_request.id.Text()},
                {"server", choice.server.record.id.Text()},
                {"detail", answer.error().detail}});
    }
    co_return AttemptOutcome{std::move(answer), progress, broke_off};
  }

  Awaitable<Result<HttpResponse>> RunRepeatable() {
    m_worker.Retries().RecordRequest();
    bool sent = false;
    while (true) {
      const auto admitted = co_await m_suspect.Admit();
      if (!admitted) {
        Error held = admitted.error();
        if (sent) held.execution = Execution::kUnknown;
        co_return tl::make_unexpected(held);
      }
      const auto choice =
          co_await ChooseWithPermit(m_worker, MakeServiceRequest());
      if (!choice && m_tried.empty()) {
        co_return tl::make_unexpected(choice.error());
      }
      Error error;
      bool broke_off = false;
      if (choice) {
        AttemptOutcome outcome = co_await Attempt(*choice, Reuse::kAllowed);
        if (outcome.answer) co_return std::move(outcome.answer);
        broke_off = outcome.broke_off;
        sent = sent || outcome.progress.first_byte_sent;
        error = outcome.answer.error();
      } else {
        m_tried.clear();
        error = choice.error();
      }
      if (sent) error.execution = Execution::kUnknown;
      const bool stop = TimeLeft().count() == 0 || (!choice && AllPause()) ||
                        IsDisabled(m_worker.GetSettings(), "retry");
      if (stop) co_return tl::make_unexpected(error);
      if (broke_off) {
        const bool may_repeat = co_await m_suspect.MayRepeat(Deadline());
        if (!may_repeat) co_return tl::make_unexpected(error);
      }
      if (!choice || !m_worker.Retries().TrySpend()) {
        co_await SleepFor(kRetryDelay);
      }
    }
  }

  Claim BuildClaim() {
    Claim claim;
    claim.key = ClaimKey(m_request.workspace, m_request.idempotency_key);
    claim.token = RandomHex(m_worker.Random(), kClaimTokenDigits);
    const std::string text = std::string(m_request.http.method_string()) + " " +
                             std::string(m_request.http.target()) + "\n" +
                             m_request.http.body();
    claim.fingerprint = std::to_string(XXH3_64bits(text.data(), text.size()));
    claim.node = m_worker.GetSettings().node;
    return claim;
  }

  Awaitable<Result<StoredClaim>> AcquireClaim(const Claim& claim) {
    if (IsDisabled(m_worker.GetSettings(), "claims")) {
      StoredClaim stored;
      stored.decision = ClaimDecision::kRun;
      stored.row = claim;
      co_return stored;
    }
    const ControlHooks& hooks = m_worker.Hooks();
    co_return co_await RunOn(hooks.executor,
                             hooks.claims->Acquire(claim, Deadline()));
  }

  Awaitable<Result<HttpResponse>> RunAtMostOnce() {
    if (m_request.idempotency_key.empty()) {
      co_return Fail(ResultCode::kMissingIdempotencyKey);
    }
    const auto available = ChooseForService(m_worker, MakeServiceRequest());
    if (!available) co_return tl::make_unexpected(available.error());
    const Claim claim = BuildClaim();
    Span span("claim", m_request.parent, m_worker.Random(),
              m_worker.Hooks().trace);
    auto stored = co_await AcquireClaim(claim);
    span.End();
    while (stored && stored->decision == ClaimDecision::kWait) {
      if (TimeLeft() <= kClaimPollInterval) {
        co_return Fail(ResultCode::kStillRunning, "", Execution::kUnknown);
      }
      co_await SleepFor(kClaimPollInterval);
      stored = co_await AcquireClaim(claim);
    }
    if (!stored) co_return tl::make_unexpected(stored.error());
    switch (stored->decision) {
      case ClaimDecision::kReplay:
        co_return Replay(stored->row);
      case ClaimDecision::kKeyReused:
        co_return Fail(ResultCode::kKeyReused);
      case ClaimDecision::kOutcomeUnknown:
        co_return Fail(ResultCode::kOutcomeUnknown, "", Execution::kUnknown);
      default:
        co_return co_await RunClaimed(std::move(*stored));
    }
  }

  Awaitable<Result<HttpResponse>> RunClaimed(StoredClaim stored) {
    m_tried.clear();
    while (true) {
      if (TimeLeft().count() == 0) {
        FinishClaim(std::move(stored), std::nullopt);
        co_return Fail(ResultCode::kDeadlinePassed);
      }
      const auto admitted = co_await m_suspect.Admit();
      if (!admitted) {
        FinishClaim(std::move(stored), std::nullopt);
        co_return tl::make_unexpected(admitted.error());
      }
      const auto choice =
          co_await ChooseWithPermit(m_worker, MakeServiceRequest());
      if (!choice && AllPause()) {
        FinishClaim(std::move(stored), std::nullopt);
        co_return tl::make_unexpected(choice.error());
      }
      if (!choice) {
        m_tried.clear();
        co_await SleepFor(kRetryDelay);
        continue;
      }
      AttemptOutcome outcome = co_await Attempt(*choice, Reuse::kNewOnly);
      if (outcome.answer) {
        FinishClaim(std::move(stored), *outcome.answer);
        co_return std::move(outcome.answer);
      }
      // Without a byte sent, no server can have executed the request.
      const bool may_retry = !outcome.progress.first_byte_sent ||
                             IsDisabled(m_worker.GetSettings(), "claims");
      if (may_retry) continue;
      LogEvent(Event::kOutcomeUnknown,
               {{"request", m_request.id.Text()},
                {"server", choice->server.record.id.Text()}});
      stored.row.state = ClaimState::kOutcomeUnknown;
      Record(std::move(stored));
      co_return Fail(ResultCode::kOutcomeUnknown, outcome.answer.error().detail,
                     Execution::kUnknown);
    }
  }

  /// Stores the response with the claim, or releases the claim if nothing was
  /// sent.
  void FinishClaim(StoredClaim stored,
                   const std::optional<HttpResponse>& answer) {
    if (IsDisabled(m_worker.GetSettings(), "claims")) return;
    if (!answer) {
      const ControlHooks& hooks = m_worker.Hooks();
      Spawn(hooks.executor, "release claim",
            hooks.claims->Release(stored.row, stored.version));
      return;
    }
    stored.row.state = ClaimState::kDone;
    stored.row.status = answer->result_int();
    stored.row.content_type = std::string((*answer)[http::field::content_type]);
    stored.row.body_kept = answer->body().size() <= kMaxStoredBody;
    if (stored.row.body_kept) stored.row.body = answer->body();
    Record(std::move(stored));
  }

  void Record(StoredClaim stored) {
    if (IsDisabled(m_worker.GetSettings(), "claims")) return;
    const ControlHooks& hooks = m_worker.Hooks();
    Spawn(hooks.executor, "record claim",
          hooks.claims->Record(std::move(stored.row), stored.version));
  }

  static HttpResponse Replay(const Claim& claim) {
    HttpResponse response(static_cast<http::status>(claim.status), 11);
    if (!claim.content_type.empty()) {
      response.set(http::field::content_type, claim.content_type);
    }
    response.set("Idempotent-Replayed", "true");
    if (!claim.body_kept) response.set("X-Body-Omitted", "true");
    response.body() = claim.body;
    return response;
  }

  Worker& m_worker;
  PlainRequest m_request;
  SuspectRequest m_suspect;
  std::vector<ServerId> m_tried;
  SteadyClock::time_point m_started = SteadyClock::now();
};

}  // namespace

Awaitable<Result<HttpResponse>> CallPlainService(Worker& worker,
                                                 PlainRequest request) {
  PlainCall call(worker, std::move(request));
  co_return co_await call.Run();
}

}  // namespace cowslipknot
