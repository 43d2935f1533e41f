#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/event_splitter.h"
#include "serve/backend_load.h"
#include "serve/gateway_worker.h"

namespace cowslipknot::gateway {

/// How one attempt ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,     ///< the caller has an answer, or is gone
  kNotExecuted,  ///< the request did not run
  kFailed,       ///< the request may have run
};

/// One caller's request, from its header to the end of its answer.
class Call {
 public:
  Call(Worker& worker, HttpExchange& exchange)
      : m_worker(worker),
        m_exchange(exchange),
        m_snapshot(worker.GetSnapshot()) {}

  Awaitable<void> Run();

 private:
  // Attempts: gateway_call.cc.
  Milliseconds TimeLeft() const;
  bool IsModelCall() const { return m_request.prompt.has_value(); }
  /// Picks a server among those known now, which may be others than when the
  /// request came.
  Result<Backend> Choose();
  /// The servers of the version that a move gives this request, or all where
  /// that has none.
  const std::vector<Backend>& ServersOfVersion(
      const Snapshot& latest, const ServiceId& service,
      const std::vector<Backend>& servers, std::uint64_t hash);
  HttpRequest BuildAttempt(const Backend& server) const;
  Awaitable<void> RunAttempts();
  Awaitable<AttemptEnd> Attempt(const Backend& server, Error& error);
  /// Ends a request that no server answered whole.
  Awaitable<void> Conclude(bool may_have_run, Error error);
  Awaitable<void> Refuse(const Error& error);

  // Answers: gateway_answer.cc.
  Awaitable<Result<std::string>> ReadAll(ResponseStream& stream);
  /// Passes an answer on once it is whole.
  Awaitable<AttemptEnd> PassWhole(const Backend& server, ResponseStream& stream,
                                  Error& error);
  /// Longest silence within a stream before it goes on elsewhere.
  Milliseconds Stall() const;
  /// Passes whole events on as they come.
  Awaitable<AttemptEnd> PassEvents(const Backend& server,
                                   ResponseStream& stream, BackendLoad& load,
                                   Error& error);
  /// @return false when the caller is gone
  Awaitable<bool> PassOn(ResponseStream& stream, const std::string& events);
  /// Whether an answer took several times longer than predicted.
  bool IsSlow(SteadyClock::time_point sent) const;

  // What is logged and counted: gateway_call_notes.cc.
  void Count(const std::string& outcome);
  void LogAttempt(const Backend& server) const;
  void LogDone(const char* outcome);
  void LogFailure(const Error& error);
  void NoteFailure(const Backend& server, const Error& error);
  /// Counts an answer for the move that its service is in.
  void NoteEvidence(const Backend& server, bool failed, bool slow);
  void NoteBegan();
  /// Notes the time of a model server that computing the prompt takes.
  void NotePromptLoad(const Backend& server);
  /// Notes the part of a model server's time that one place of its batch took.
  void NoteStreamLoad(const Backend& server, SteadyClock::time_point begun);

  Worker& m_worker;
  HttpExchange& m_exchange;
  SnapshotPtr m_snapshot;
  CallerRequest m_request;
  const Route* m_route = nullptr;
  const Workspace* m_workspace = nullptr;
  SteadyClock::time_point m_started = SteadyClock::now();
  SteadyClock::time_point m_deadline{};
  Milliseconds m_retry_after{0};
  CallProgress m_progress;
  Placement m_placement;
  MoveId m_move_key;  ///< undecided move of the service; empty without one
  VersionId m_new_version;
  SteadyClock::time_point m_sent{};  ///< the latest attempt
  std::vector<ServerId> m_tried;
  EventSplitter m_events;
  std::optional<HttpResponse> m_last_answer;
  bool m_reached = false;  ///< an attempt's bytes may have reached a server
  bool m_streaming = false;
  bool m_counted = false;
  bool m_caller_gone = false;
};

}  // namespace cowslipknot::gateway
