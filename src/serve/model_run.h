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

/// The output and state of a run that one read returns.
struct RunProgress {
  std::vector<std::string> chunks;  ///< from the requested position on
  bool finished = false;
  std::optional<Error> failure;
  std::string finish_reason;
};

/// Executes one model request until its answer is complete, with as many
/// attempts as needed. Runs on one traffic thread; any number of callers may
/// read the output from any position.
class ModelRun : public std::enable_shared_from_this<ModelRun> {
 public:
  ModelRun(Worker& worker, RequestId id, WorkspaceId workspace, Route route,
           ModelRequest request);

  /// Runs attempts in the background until the answer is complete or the run
  /// has failed.
  void Start(TraceContext parent);

  /// Waits until there is output beyond `position` or the run has finished.
  Awaitable<RunProgress> ReadBeyond(std::size_t position);

  /// Stops the run here after a peer has taken it over.
  void HandOver();
  /// Marks that a peer holds a backup, to be discarded when the run ends.
  void MarkBackedUp() { m_backed_up = true; }

  /// Counts readers. A run that has lost its last reader is cancelled after a
  /// grace period, unless it was taken over from a peer.
  void AddReader() { ++m_readers; }
  void RemoveReader();
  /// Marks that a caller has the complete answer, so that the backup is no
  /// longer needed.
  void MarkDelivered();

  Descriptor Describe() const;
  void Restore(const Descriptor& descriptor);

  Worker& Owner() { return m_worker; }
  const RequestId& Id() const { return m_id; }
  const WorkspaceId& GetWorkspace() const { return m_workspace; }
  const Route& GetRoute() const { return m_route; }
  const ModelRequest& Request() const { return m_request; }
  bool Finished() const { return m_finished; }
  /// The fields that every event of the answer carries. Thread-safe.
  ResponseInfo Info() const;

 private:
  struct Attempt;

  Awaitable<void> Execute(TraceContext parent);
  /// Whether the request may be sent to a server.
  Awaitable<Result<void>> AdmitSuspect();
  Awaitable<Result<void>> RunAttempt(const TraceContext& parent);
  Awaitable<Result<void>> ReadAnswer(Attempt& attempt,
                                     std::unique_ptr<ResponseStream> stream);
  Awaitable<Result<void>> ReconnectStream(Attempt& attempt);
  /// Waits for a permit to resume a stream, for as long as a server may be
  /// silent.
  Awaitable<bool> WaitForPermit(ServerView server);
  Result<bool> ApplyEvents(Attempt& attempt, std::string_view bytes,
                           SseParser& parser);
  /// Whether every token was received: the finish reason comes with the last
  /// one. A server asked to resume from there has nothing to add.
  bool HasCompleteAnswer() const { return !m_finish_reason.empty(); }
  /// Records the time to first token of an attempt as a measurement of the
  /// server's speed.
  void RecordFirstOutput(Attempt& attempt);
  Awaitable<Result<void>> SelectServer(Attempt& attempt);
  /// Whether the run ends because no server can take it soon. One that has
  /// output, or that a peer has accepted, waits for the end of a pause.
  bool EndsForLackOfServers(const Error& error, bool sent);
  /// Records that a connection may have ended because its server crashed.
  void RecordFailure(const Attempt& attempt, const Error& error);
  void RecordEvidence(const Attempt& attempt, bool failed);
  void Finish(std::optional<Error> failure);
  void CancelOnEngine(const Attempt& attempt);
  Awaitable<void> CancelIfNoReaders();
  std::string Labels() const;

  Worker& m_worker;
  RequestId m_id;
  WorkspaceId m_workspace;
  Route m_route;
  ModelRequest m_request;
  SuspectRequest m_suspect;
  std::vector<std::string> m_chunks;
  std::string m_finish_reason;
  bool m_finished = false;
  bool m_cancelled = false;
  bool m_handed_over = false;
  bool m_taken_over = false;
  bool m_broke_off = false;  ///< the connection of the last attempt
  bool m_backed_up = false;
  std::optional<Error> m_failure;
  std::vector<ServerId> m_tried;
  ServerId m_server;
  int m_readers = 0;
  SteadyClock::time_point m_started = SteadyClock::now();
  bool m_first_token_recorded = false;
  asio::steady_timer m_changed;
};

/// The version that a request to a service is currently routed to.
struct VersionChoice {
  VersionId version;
  MoveId evidence_key;  ///< of the move's current start; empty without one
  bool is_new = false;  ///< whether it is the move's new version
};

VersionChoice ChooseVersion(const FleetSnapshot& snapshot,
                            const ServiceId& service,
                            std::uint64_t request_hash);

/// Counts one attempt in the evidence by which a move is decided.
void RecordMoveEvidence(std::map<MoveId, MoveEvidence>& evidence,
                        const VersionChoice& choice, const RouteId& route,
                        bool failed, bool slow);

}  // namespace cowslipknot
