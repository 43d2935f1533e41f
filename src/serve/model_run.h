#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/generated/peer_generated.h"
#include "protocol/model_api.h"
#include "serve/worker.h"

namespace cowslipknot {

using Descriptor = wire::DescriptorT;

/// What a reader of a run learns at once.
struct RunProgress {
  std::vector<std::string> chunks;  ///< from the position asked for
  bool finished = false;
  std::optional<Error> failure;
  std::string finish_reason;
};

/// One model request from acceptance to its whole answer, over as many
/// attempts as it takes. Lives on one traffic thread; any number of callers
/// may read it from any position.
class ModelRun : public std::enable_shared_from_this<ModelRun> {
 public:
  ModelRun(Worker& worker, RequestId id, WorkspaceId workspace, Route route,
           ModelRequest request);

  /// Runs attempts until the answer is whole or the run has failed.
  Awaitable<void> Execute(TraceContext parent);

  /// Waits until there is output beyond `position` or the run has ended.
  Awaitable<RunProgress> ReadBeyond(std::size_t position);

  /// Stops the run here, because a peer goes on with it.
  void HandOver();
  /// Notes that a peer holds a copy, to be discarded at the end.
  void MarkKept() { m_kept = true; }

  /// Notes a reader's coming and going; a run without readers is cancelled
  /// after a while, unless it was taken over.
  void AddReader() { ++m_readers; }
  void RemoveReader();
  /// Notes that a caller has the whole answer, so that no copy is needed.
  void MarkDelivered();

  Descriptor Describe() const;
  void Restore(const Descriptor& descriptor);

  Worker& Owner() { return m_worker; }
  const RequestId& Id() const { return m_id; }
  const WorkspaceId& GetWorkspace() const { return m_workspace; }
  const Route& GetRoute() const { return m_route; }
  const ModelRequest& Request() const { return m_request; }
  bool Finished() const { return m_finished; }
  /// What every event of the answer carries; may be called on any thread.
  AnswerInfo Info() const;

 private:
  struct Attempt;

  Awaitable<Result<void>> RunAttempt(const TraceContext& parent);
  Awaitable<Result<void>> ReadAnswer(Attempt& attempt,
                                     std::unique_ptr<ResponseStream> stream);
  Awaitable<Result<void>> ReconnectStream(Attempt& attempt);
  Result<bool> ApplyEvents(Attempt& attempt, std::string_view bytes,
                           SseParser& parser);
  /// Whether every token has come: the finish reason comes with the last one.
  /// A server asked to go on from there has nothing to add.
  bool HasWholeAnswer() const { return !m_finish_reason.empty(); }
  /// Takes the first output of an attempt as a reading of the server's speed.
  void NoteFirstOutput(Attempt& attempt);
  Result<void> Select(Attempt& attempt);
  void NoteEvidence(const Attempt& attempt, bool failed);
  void Finish(std::optional<Error> failure);
  void CancelOnEngine(const Attempt& attempt);
  Awaitable<void> CancelWhenUnread();
  std::string Labels() const;

  Worker& m_worker;
  RequestId m_id;
  WorkspaceId m_workspace;
  Route m_route;
  ModelRequest m_request;
  std::vector<std::string> m_chunks;
  std::string m_finish_reason;
  bool m_finished = false;
  bool m_cancelled = false;
  bool m_handed_over = false;
  bool m_taken_over = false;
  bool m_kept = false;
  std::optional<Error> m_failure;
  std::vector<ServerId> m_tried;
  ServerId m_server;
  int m_readers = 0;
  SteadyClock::time_point m_started = SteadyClock::now();
  bool m_first_token_noted = false;
  asio::steady_timer m_changed;
};

/// The version that a request of a service goes to now.
struct VersionChoice {
  VersionId version;
  MoveId evidence_key;  ///< of the move's current start; may be empty
  bool is_new = false;  ///< the move's new version
};

VersionChoice ChooseVersion(const FleetSnapshot& snapshot,
                            const ServiceId& service,
                            std::uint64_t request_hash);

/// Records one attempt as evidence for a move.
void AddEvidence(std::map<MoveId, MoveEvidence>& evidence,
                 const VersionChoice& choice, const RouteId& route, bool failed,
                 bool slow);

}  // namespace cowslipknot
