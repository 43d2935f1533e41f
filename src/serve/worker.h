#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "cowslipknot/coordination/fair_queue.h"
#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/coordination/retry_budget.h"
#include "cowslipknot/coordination/server_limit.h"
#include "cowslipknot/settings.h"
#include "cowslipknot/state/fleet.h"
#include "serve/crash_reports.h"
#include "serve/row_log_filter.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace cowslipknot {

class ModelRun;
struct ServerNotices;
class ClaimWriter;

/// Operations that the traffic threads request from the control thread. Every
/// hook may be called from any thread.
struct ControlHooks {
  asio::any_io_executor executor;  ///< of the control thread
  ClaimWriter* claims = nullptr;   ///< used on `executor` only
  /// Used on `executor` only; null if crashes are not watched.
  CrashWatch* crashes = nullptr;
  /// Called once for each server that says in an answer that it is leaving.
  /// @param read_at  when the answer's head was read, in TimeSinceBoot()
  std::function<void(const ServerId&, Incarnation,
                     std::chrono::nanoseconds read_at)>
      on_leaving_answer;
  /// Called with what an answer said of its server's limit, if the server names
  /// one or did.
  std::function<void(const ServerId&, Incarnation, const LimitStatement&)>
      on_limit_statement;
  /// Obtains a permit to send one request to a server that names a limit.
  std::function<Awaitable<bool>(ServerId, Incarnation)> acquire_permit;
  /// Sends a backup of a request to a peer; used once a stop or
  /// reclaim is announced.
  std::function<Awaitable<bool>(std::shared_ptr<ModelRun>)> back_up;
  std::function<void(const RequestId&)> discard_backup;
  /// Whether a backup of a peer's request is held here.
  std::function<Awaitable<bool>(RequestId)> holds_backup;
  /// Whether a backup of a request exists, or a peer has taken it over.
  std::function<Awaitable<bool>(RequestId)> has_backup;
  /// Finds the caller-facing address of the instance that can answer for a
  /// request.
  std::function<Awaitable<Result<Endpoint>>(RequestId)> locate;
  SpanSink trace;
};

/// A request whose answer's head was read; times are in TimeSinceBoot().
struct AnsweredRequest {
  std::string_view id;  ///< sent with the request
  std::chrono::nanoseconds sent_at{0};
  std::chrono::nanoseconds read_at{0};
};

/// Admission of one request. Releases its tokens when destroyed.
class AdmissionTicket {
 public:
  AdmissionTicket(class Worker& worker, TokenCount cost)
      : m_worker(&worker), m_cost(cost) {}
  AdmissionTicket(AdmissionTicket&& other) noexcept
      : m_worker(std::exchange(other.m_worker, nullptr)),
        m_cost(other.m_cost) {}
  AdmissionTicket& operator=(AdmissionTicket&&) = delete;
  ~AdmissionTicket();

 private:
  class Worker* m_worker;
  TokenCount m_cost;
};

/// State of one traffic thread. Used on its own executor only.
class Worker {
 public:
  Worker(const Settings& settings, std::size_t index,
         const ControlHooks& hooks);

  asio::io_context& Context() { return m_context; }
  asio::any_io_executor Executor() { return m_context.get_executor(); }
  const Settings& GetSettings() const { return m_settings; }
  const ControlHooks& Hooks() const { return m_hooks; }
  HttpClient& Http() { return *m_http; }

  const FleetSnapshot& Snapshot() const { return *m_snapshot; }
  FleetSnapshotPtr SnapshotPtr() const { return m_snapshot; }
  void SetSnapshot(FleetSnapshotPtr snapshot) {
    m_snapshot = std::move(snapshot);
  }

  /// Waits until the request's tokens fit within the limit of tokens in flight.
  /// @return kOverLimit if they do not by the deadline
  Awaitable<Result<AdmissionTicket>> Admit(AdmissionRequest request);
  void ReleaseTokens(TokenCount cost);

  UnitDraw Draw();
  std::uint64_t NextRoundRobinIndex() { return ++m_round_robin_index; }
  std::mt19937_64& Random() { return m_random; }
  MetricSet& Metrics() { return m_metrics; }
  RetryBudget& Retries() { return m_retries; }
  std::map<MoveId, MoveEvidence>& Evidence() { return m_evidence; }

  /// Takes notice of what the head of a server's answer says of the server.
  void RecordServerNotices(const ServerView& server,
                           const http::response_header<>& header,
                           const AnsweredRequest& request);

  /// Obtains a permit to send one request to a server, if that names a limit.
  /// @return whether the request may be sent
  Awaitable<bool> AcquirePermit(ServerView server);

  CrashReports& Crashes() { return m_crashes; }

  /// Fills in the length of the longest prefix of the prompt that this thread
  /// has sent before, and the server that it was last sent to.
  void MatchPrefix(RequestCost& cost) const;
  void RecordPrefix(const RequestCost& cost, const ServerId& server);

  /// Runs by request id, including finished ones until they are evicted.
  std::map<RequestId, std::shared_ptr<ModelRun>>& Runs() { return m_runs; }
  void AddRun(const std::shared_ptr<ModelRun>& run);
  std::shared_ptr<ModelRun> FindRun(const RequestId& id) const;

  /// Connections of callers that wait for a request.
  std::shared_ptr<ConnectionSet> Idle() { return m_idle; }
  /// Bounds the connections of callers.
  const std::shared_ptr<ConnectionLimit>& CallerConnections() const {
    return m_caller_connections;
  }
  /// Number of requests that are being read or answered.
  std::shared_ptr<std::size_t> RequestsInProgress() {
    return m_requests_in_progress;
  }

 private:
  void EvictFinishedRuns();
  void PauseServer(const ServerView& server, double seconds,
                   const AnsweredRequest& request);
  void RecordLimit(const ServerView& server, const ServerNotices& notices,
                   const AnsweredRequest& request);

  const Settings& m_settings;
  const ControlHooks& m_hooks;
  asio::io_context m_context{1};
  std::shared_ptr<ConnectionLimit> m_caller_connections;
  std::shared_ptr<HttpClient> m_http;
  FleetSnapshotPtr m_snapshot = std::make_shared<FleetSnapshot>();
  std::mt19937_64 m_random;
  CrashReports m_crashes;
  MetricSet m_metrics;
  RetryBudget m_retries;
  FairQueue m_queue;
  std::map<std::uint64_t, std::shared_ptr<asio::steady_timer>>
      m_waiting_admissions;
  std::uint64_t m_next_ticket = 0;
  std::uint64_t m_round_robin_index = 0;
  std::shared_ptr<ConnectionSet> m_idle = std::make_shared<ConnectionSet>();
  std::shared_ptr<std::size_t> m_requests_in_progress =
      std::make_shared<std::size_t>(0);
  std::map<MoveId, MoveEvidence> m_evidence;
  /// Server that each prompt block was last sent to.
  std::unordered_map<std::uint64_t, ServerId> m_block_servers;
  std::deque<std::uint64_t> m_block_insertion_order;
  std::map<RequestId, std::shared_ptr<ModelRun>> m_runs;
  std::deque<RequestId> m_run_order;
  gateway::RowLogFilter m_odd_limits;
};

}  // namespace cowslipknot
