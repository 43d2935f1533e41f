#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include "base/clock.h"
#include "base/metrics.h"
#include "cowslipknot/coordination/retry_budget.h"
#include "cowslipknot/gateway/load_meter.h"
#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/settings.h"
#include "cowslipknot/gateway/usage.h"
#include "protocol/gateway_dialect.h"
#include "serve/quota_peers.h"
#include "transport/http_server.h"

namespace cowslipknot::gateway {

/// A service with an order to move it, and its servers by version.
struct MovedService {
  VersionMove move;
  std::vector<Backend> old_servers;
  std::vector<Backend> new_servers;

  bool Undecided() const {
    return move.state.phase == MovePhase::kRunning ||
           move.state.phase == MovePhase::kWatching;
  }
};

/// What the traffic thread routes by. Immutable; control publishes a new one.
struct Snapshot {
  ConfigurationPtr configuration;  ///< null until the first is read
  std::shared_ptr<const RouteTable> routes;
  std::map<ServiceId, std::vector<Backend>> servers;
  std::map<WorkspaceId, double> shares;  ///< parts of limits granted here
  std::map<WorkspaceId, double> pooled;  ///< parts of limits lent here
  std::map<WorkspaceId, std::vector<Endpoint>> homes;  ///< of the limits
  std::map<ServiceId, MovedService> moves;
  std::vector<Endpoint> peers;  ///< of the other instances
  std::size_t instances = 1;    ///< gateway instances, this included
  std::size_t instances_in_domain = 1;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// State of the traffic thread. Used on its own executor only, but for the
/// atomic members.
class Worker {
 public:
  Worker(const Settings& settings, const Dialect& dialect);

  asio::io_context& Context() { return m_context; }
  const Settings& GetSettings() const { return m_settings; }
  const Dialect& GetDialect() const { return m_dialect; }
  HttpClient& Http() { return *m_http; }
  MetricSet& Metrics() { return m_metrics; }
  QuotaLimiter& Quota() { return m_quota; }
  PeerLinks& Links() { return m_links; }
  QuotaPeers& Lenders() { return m_lenders; }
  UsageLedger& Usage() { return m_usage; }
  LoadMeter& Load() { return m_load; }
  RetryBudget& Retries() { return m_retries; }
  /// What was seen of both versions, by move, since the process began.
  std::map<MoveId, MoveEvidence>& Evidence() { return m_evidence; }
  IdleConnections& Idle() { return *m_idle; }
  std::shared_ptr<IdleConnections> IdlePtr() { return m_idle; }

  SnapshotPtr GetSnapshot() const { return m_snapshot; }
  void SetSnapshot(SnapshotPtr snapshot);

  /// Tells the other instances of a prompt that keeps a server busy.
  void TellPrompt(const ServerId& server, TokenCount uncached);

  /// Whether the configuration was confirmed recently enough that no key can
  /// have been removed for longer than the bound.
  bool KeysAreFresh() const;
  /// The store confirmed the configuration, asked at `asked`.
  void NoteConfirmed(std::chrono::nanoseconds asked) { m_confirmed = asked; }

  /// The shared time of day is BootTime() plus `offset`.
  void SetClock(std::chrono::nanoseconds offset) { m_clock_offset = offset; }
  /// Counts a request that began to run.
  void NoteBegan(const WorkspaceId& workspace);

  UnitDraw Draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  std::uint64_t& InFlight() { return m_in_flight; }

 private:
  PeerFrame NotePrompt(const PeerFrame& frame);

  const Settings& m_settings;
  const Dialect& m_dialect;
  asio::io_context m_context{1};
  std::shared_ptr<HttpClient> m_http;
  SnapshotPtr m_snapshot = std::make_shared<Snapshot>();
  MetricSet m_metrics;
  QuotaLimiter m_quota;
  PeerLinks m_links;
  QuotaPeers m_lenders;
  std::unordered_map<ServerId, std::shared_ptr<BackendState>> m_states;
  UsageLedger m_usage;
  LoadMeter m_load;
  RetryBudget m_retries;
  std::map<MoveId, MoveEvidence> m_evidence;
  std::shared_ptr<IdleConnections> m_idle = std::make_shared<IdleConnections>();
  std::mt19937_64 m_random;
  std::uint64_t m_in_flight = 0;
  std::atomic<std::chrono::nanoseconds> m_confirmed{
      std::chrono::nanoseconds(0)};
  std::atomic<std::chrono::nanoseconds> m_clock_offset{
      std::chrono::nanoseconds(0)};
};

/// Answers one caller.
Awaitable<void> HandleCaller(Worker& worker, HttpExchange& exchange);

}  // namespace cowslipknot::gateway
