#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/gateway/response_use.h"
#include "cowslipknot/gateway/server_pause.h"
#include "cowslipknot/gateway/stream_delay.h"
#include "cowslipknot/gateway/stream_stall.h"
#include "protocol/event_splitter.h"
#include "serve/gateway_worker.h"
#include "serve/in_flight_request_guard.h"

namespace cowslipknot::gateway {

/// Outcome of one attempt.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,     ///< the caller has a response or has disconnected
  kNotExecuted,  ///< the request was not executed
  kFailed,       ///< the request may have been executed
};

/// What a response shows, once it is complete, of its request.
enum class ResponseEvidence : std::uint8_t {
  kNone,
  kHarmless,  ///< the request crashes no server
  /// The same if the server still runs: without framing, a crash may also have
  /// ended the body.
  kHarmlessIfServerRuns,
};

/// Handles one caller's request, from its header to the end of the response.
/// Used on the traffic thread only.
class Call {
 public:
  Call(Worker& worker, HttpExchange& exchange)
      : m_worker(worker),
        m_exchange(exchange),
        m_snapshot(worker.GetSnapshot()),
        m_event_memory(worker.Memory()),
        m_body_memory(worker.Memory()) {}

  Awaitable<void> Run();

 private:
  // Attempts: gateway_call.cc.
  Milliseconds TimeLeft() const;
  std::uint64_t RequestHash() const;
  bool IsModelCall() const { return m_request.prompt.has_value(); }
  HttpRequest BuildAttemptRequest(const Backend& server) const;
  Awaitable<void> RunAttemptLoop();
  /// Waits before a stream that has begun is offered to the servers again.
  Awaitable<void> WaitToResume();
  Awaitable<AttemptOutcome> RunAttempt(const Backend& server, Error& error);
  /// Whether a response on the attempt's connection answers this request; logs
  /// one that does not.
  bool IsOwn(const http::response_header<>& header) const;
  ResponseUse Classify(const http::response_header<>& header) const;
  /// Ends the attempt in progress because the caller has disconnected or the
  /// instance stops.
  void AbortAttempt();
  /// Whether the attempt was not ended by its server.
  bool IsAborted() const { return m_caller_gone || m_stopped; }
  /// Rejects a request that was not sent, since the instance stops.
  Awaitable<void> RejectForStop();
  /// Finishes a request that did not get a complete response from any server.
  Awaitable<void> FinishWithoutAnswer(bool may_have_run, Error error);
  Awaitable<void> Reject(const Error& error);
  /// Sends and consumes the response; logs a failure to do so.
  Awaitable<void> SendResponse(HttpResponse& response);
  void LogResponseNotSent();

  // Choice of servers: gateway_call_servers.cc.
  /// Chooses a server from the latest snapshot, which may differ from the one
  /// used to admit the request.
  Result<Backend> ChooseServer();
  /// Whether the request's service has a server that is neither excluded nor
  /// ejected.
  bool HasOtherServer() const;
  /// Whether a server may still get requests: it has not left since it was
  /// selected, and its failure domain is not evacuated.
  bool IsListed(const ServerEntry& server) const;
  /// Returns the servers of the version that the service's move assigns to this
  /// request, or all servers if that version has none.
  const std::vector<Backend>& ServersOfVersion(
      const Snapshot& latest, const ServiceId& service,
      const std::vector<Backend>& servers, std::uint64_t hash);
  /// Chooses a server that may be sent the request now. Servers that name a
  /// limit and grant no permit are left out; the others need not wait for them.
  Awaitable<Result<Backend>> AcquireServer();
  /// Whether the next attempt repeats one that may have reached a server.
  bool RepeatsRequest() const;
  bool MaySpendRetry() const;
  /// Whether the chosen server may be sent another attempt by the retry budget.
  bool TrySpendRetry();
  /// Returns after what time the caller should repeat its request when no
  /// server was usable.
  Milliseconds NoServerRetryDelay();

  // Responses: gateway_response.cc.
  Awaitable<Result<std::string>> ReadBody(ResponseStream& stream);
  /// Forwards a response after its body has been read completely.
  Awaitable<AttemptOutcome> ForwardResponse(const Backend& server,
                                            ResponseStream& stream,
                                            Error& error);
  /// Whether a stream may be resumed at a server that was not tried.
  bool MayResumeElsewhere() const;
  /// Reads the next piece of a stream. Waits for a silent server for as long as
  /// that is better than to resume the stream elsewhere.
  Awaitable<Result<std::string>> ReadEvents(ResponseStream& stream,
                                            const Backend& server,
                                            const StreamGapMeter& meter);
  /// Reads the body of a response that declined a request. A body that is long
  /// or slow is left, which closes the connection.
  static Awaitable<void> DiscardBody(ResponseStream& stream);
  /// Forwards complete server-sent events as they arrive.
  Awaitable<AttemptOutcome> ForwardEvents(const Backend& server,
                                          ResponseStream& stream,
                                          InFlightRequestGuard& guard,
                                          Error& error);
  /// Writes events to the caller, preceded by the response header if it has not
  /// been sent.
  /// @return false if the caller has disconnected
  Awaitable<bool> WriteEvents(ResponseStream& stream,
                              const std::string& events);

  // Evidence about crashes: gateway_call_crashes.cc.
  void OnResponseHeader(const http::response_header<>& header);
  void RecordCompletion(const Backend& server);
  /// Records that events of the latest attempt's answer were read.
  void RecordProgress();
  void RecordBreakOff(const Backend& server, AttemptOutcome end,
                      const Error& error);
  /// Whether a server may be sent requests by the latest snapshot.
  bool IsListed(const Backend& server) const;
  /// Whether the request may be sent to another server after an attempt. Waits
  /// until it is known whether the servers of earlier attempts crashed, if that
  /// decides.
  Awaitable<bool> MayRepeat();

  // Logs and metrics: gateway_call_metrics.cc.
  void RecordOutcome(const std::string& outcome);
  void LogAttempt(const Backend& server) const;
  void RecordDuration();
  void LogDone(const char* outcome);
  /// Counts and logs why a stream missed its route's targets, if it did.
  void RecordLateness(const Backend& server);
  void LogFailure(const Error& error);
  /// Logs that a stream waits for a silent server.
  void LogStall(const Backend& server, Milliseconds silence);
  void RecordAttemptFailure(const Backend& server, const Error& error);
  /// Starts to compare the attempt with others of its route, as evidence for an
  /// undecided move of the service.
  std::uint64_t TrackAttempt(const Backend& server);
  /// Times of the latest attempt, whose answer is read now.
  AnswerTimes AttemptTimes() const;
  /// Records what a response says of its server's state.
  void RecordServerNotices(const Backend& server,
                           const http::response_header<>& header);
  void RecordFirstEvent(const Backend& server, InFlightRequestGuard& guard);
  /// Returns what a response says of its server's limit; nothing if it says
  /// nothing that is usable.
  std::optional<LimitStatement> ReadLimit(const Backend& server,
                                          const BackendResponse& response);
  void LogOddLimit(const Backend& server, const BackendResponse& response);
  void LogPause(const Backend& server, double stated_s,
                const ServerPause& pause);
  void RecordRequestStart();
  /// Adds the prompt's estimated prefill time to the service's load.
  void RecordPromptLoad(const Backend& server);
  /// Adds the stream's duration, divided by the server's batch slots, to the
  /// service's load.
  void RecordStreamLoad(const Backend& server, SteadyClock::time_point begun);

  Worker& m_worker;
  HttpExchange& m_exchange;
  SnapshotPtr m_snapshot;
  CallerRequest m_request;
  const Route* m_route = nullptr;
  const Workspace* m_workspace = nullptr;
  SteadyClock::time_point m_started = SteadyClock::now();
  SteadyClock::time_point m_deadline{};
  Milliseconds m_retry_after{0};
  Milliseconds m_age{0};  ///< since the caller's first attempt
  std::optional<RoomWatch::Attempt> m_room_attempt;  ///< the latest
  CallProgress m_progress;
  Placement m_placement;
  MoveId m_move_key;  ///< undecided move of the service; empty if none
  VersionId m_new_version;
  std::uint64_t m_tracked_attempt = 0;       ///< latest, in the evidence
  std::vector<ServerId> m_tried_servers;     ///< in order; may repeat
  std::vector<ServerId> m_excluded_servers;  ///< not chosen for now
  std::uint32_t m_permit_requests = 0;       ///< for the next attempt
  std::uint32_t m_executed = 0;  ///< attempts that may have been executed
  EventSplitter m_events;
  MemoryReservation m_event_memory;  ///< of a partial event
  MemoryReservation m_body_memory;   ///< of responses
  bool m_stall_logged = false;       ///< since the last complete event
  StreamDelayMeter m_delays{m_started};
  std::optional<HttpResponse> m_last_answer;
  bool m_reached_server = false;  ///< request bytes may have reached a server
  bool m_streaming = false;
  bool m_start_recorded = false;
  bool m_caller_gone = false;
  bool m_stopped = false;  ///< the instance ends its requests
  Suspects m_suspects;
  std::chrono::nanoseconds m_attempt_sent{0};  ///< in TimeSinceBoot(), latest
  ResponseEvidence m_response_evidence = ResponseEvidence::kNone;
  AnswerProgress m_answer_progress;  ///< of the latest attempt
};

}  // namespace cowslipknot::gateway
