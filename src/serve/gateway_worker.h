#pragma once

#include <algorithm>
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
#include "cowslipknot/gateway/planned_stop.h"
#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/settings.h"
#include "cowslipknot/gateway/usage.h"
#include "cowslipknot/gateway/version_evidence.h"
#include "protocol/platform_adapter.h"
#include "serve/crash_guard.h"
#include "serve/quota_peers.h"
#include "serve/room_watch.h"
#include "serve/server_permits.h"
#include "serve/stop_schedule.h"
#include "transport/http_server.h"

namespace cowslipknot::gateway {

/// A service with a move order, and its servers by version.
struct MovedService {
  VersionMove move;
  std::vector<Backend> old_servers;
  std::vector<Backend> new_servers;

  bool IsUndecided() const { return gateway::IsUndecided(move); }
};

/// Immutable routing state of the traffic thread. The control thread publishes
/// a new snapshot for each change.
struct Snapshot {
  ConfigurationPtr configuration;  ///< null until first read
  std::shared_ptr<const RouteTable> routes;
  std::map<ServiceId, std::vector<Backend>> servers;
  /// Share of each limit that this instance grants itself.
  std::map<WorkspaceId, double> quota_shares;
  /// Share of each limit that this instance lends.
  std::map<WorkspaceId, double> lent_shares;
  /// Instances that lend each limit.
  std::map<WorkspaceId, std::vector<Endpoint>> quota_lenders;
  std::map<ServiceId, MovedService> moves;
  std::vector<Endpoint> peers;  ///< other instances
  KnownInstances known_instances;
  std::size_t instances = 1;  ///< gateway instances, including this one
  std::size_t instances_in_domain = 1;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// State of the traffic thread. All members except the atomic ones are used on
/// its executor only.
class Worker {
 public:
  Worker(const Settings& settings, const PlatformAdapter& adapter);

  asio::io_context& Context() { return m_context; }
  const Settings& GetSettings() const { return m_settings; }
  const PlatformAdapter& GetAdapter() const { return m_adapter; }
  HttpClient& Http() { return *m_http; }
  /// Bounds what this instance holds of callers' requests, servers' responses
  /// and other instances' frames.
  const std::shared_ptr<MemoryBudget>& Memory() const { return m_memory; }
  /// Bounds the connections of callers.
  const std::shared_ptr<ConnectionLimit>& CallerConnections() const {
    return m_caller_connections;
  }
  MetricSet& Metrics() { return m_metrics; }
  QuotaLimiter& Quota() { return m_quota; }
  PeerLinks& Links() { return m_links; }
  QuotaPeers& GetQuotaPeers() { return m_quota_peers; }
  ServerPermits& Permits() { return m_permits; }
  CrashGuard& Crashes() { return m_crashes; }
  RoomWatch& Room() { return m_room; }
  UsageLedger& Usage() { return m_usage; }
  LoadMeter& Load() { return m_load; }
  RetryBudget& Retries() { return m_retries; }
  /// Results of the old and new version of each move since the process started.
  VersionEvidence& Evidence() { return m_evidence; }
  ConnectionSet& Idle() { return *m_idle; }
  std::shared_ptr<ConnectionSet> IdlePtr() { return m_idle; }
  /// Connections on which a request is being read.
  std::shared_ptr<ConnectionSet> Reading() { return m_reading; }
  RequestDurations& Durations() { return m_durations; }
  StopSchedule& Stop() { return m_stop; }
  /// Whether a request that has not been sent is expected to end before this
  /// instance does, if that stops.
  /// @param until_limit  time until its response is due at the latest
  bool MayEndBeforeStop(const Route& route, Milliseconds until_limit);

  SnapshotPtr GetSnapshot() const { return m_snapshot; }
  void SetSnapshot(SnapshotPtr snapshot);

  /// Notifies the other instances of a prompt sent to a server, if it is long
  /// enough to keep the server busy.
  void AnnouncePrompt(const ServerId& server, TokenCount uncached);

  /// Called with a server, its start time, and when the header of its response
  /// was read, in TimeSinceBoot().
  using LeavingResponseHook = std::function<void(const ServerId&, std::int64_t,
                                                 std::chrono::nanoseconds)>;
  /// Sets what is called when a server says in a response that it is shutting
  /// down. Call it before requests are served.
  void SetLeavingResponseHook(LeavingResponseHook hook) {
    m_on_leaving_response = std::move(hook);
  }
  /// Keeps further requests from a server that says that it is shutting down.
  void OnLeavingResponse(const Backend& server,
                         std::chrono::nanoseconds read_at);

  /// The server as listed now if an answer is of that process, although the
  /// request was sent to the former one's address and id; else `server`.
  Backend ProcessOf(const Backend& server, const AnswerTimes& times) const;
  /// Applies what an answer said or showed of its server.
  void ApplyNotice(const Backend& server, const ProcessNotice& notice);
  /// Applies to a process, once it is listed, what its answers said before.
  /// @param former  state of the process that was listed before it
  void ApplyEarlierNotices(BackendState& former, const Backend& server);

  /// Whether the configuration was confirmed recently enough that no API key
  /// has been removed for longer than Settings::revoke_bound.
  bool KeysAreFresh() const;
  /// Whether the configuration was ever confirmed in this process.
  bool HasConfirmedConfiguration() const {
    return m_confirmed_at.load().count() != 0;
  }
  /// Records that the configuration was current at `confirmed` in
  /// TimeSinceBoot().
  void OnConfigurationConfirmed(std::chrono::nanoseconds confirmed) {
    // Confirmations through a relay may arrive after a more recent one.
    m_confirmed_at = std::max(m_confirmed_at.load(), confirmed);
  }

  /// Sets the offset of the shared wall clock from TimeSinceBoot().
  void SetClockOffset(std::chrono::nanoseconds offset) {
    m_clock_offset = offset;
  }
  /// Counts a request whose execution began, for usage reports.
  void RecordRequestStart(const WorkspaceId& workspace);

  UnitDraw Draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  /// Number of requests that are being read or answered.
  std::shared_ptr<std::size_t> RequestsInProgress() {
    return m_requests_in_progress;
  }

 private:
  PeerFrame OnPromptSent(const PeerFrame& frame);

  const Settings& m_settings;
  const PlatformAdapter& m_adapter;
  asio::io_context m_context{1};
  std::shared_ptr<MemoryBudget> m_memory;
  ConnectionShares m_connection_shares;
  std::shared_ptr<ConnectionLimit> m_caller_connections;
  std::shared_ptr<HttpClient> m_http;
  SnapshotPtr m_snapshot = std::make_shared<Snapshot>();
  MetricSet m_metrics;
  QuotaLimiter m_quota;
  PeerLinks m_links;
  QuotaPeers m_quota_peers;
  ServerPermits m_permits;
  CrashGuard m_crashes;
  RoomWatch m_room;
  std::unordered_map<ServerId, std::shared_ptr<BackendState>> m_backend_states;
  /// Of the processes that were listed last at each address.
  std::map<Endpoint, std::weak_ptr<BackendState>> m_states_by_address;
  UsageLedger m_usage;
  LoadMeter m_load;
  RetryBudget m_retries;
  VersionEvidence m_evidence;
  LeavingResponseHook m_on_leaving_response;
  std::shared_ptr<ConnectionSet> m_idle = std::make_shared<ConnectionSet>();
  std::shared_ptr<ConnectionSet> m_reading = std::make_shared<ConnectionSet>();
  RequestDurations m_durations;
  StopSchedule m_stop;
  std::mt19937_64 m_random;
  std::shared_ptr<std::size_t> m_requests_in_progress =
      std::make_shared<std::size_t>(0);
  std::atomic<std::chrono::nanoseconds> m_confirmed_at{
      std::chrono::nanoseconds(0)};
  std::atomic<std::chrono::nanoseconds> m_clock_offset{
      std::chrono::nanoseconds(0)};
};

/// Handles one caller's request.
Awaitable<void> HandleCaller(Worker& worker, HttpExchange& exchange);

}  // namespace cowslipknot::gateway
