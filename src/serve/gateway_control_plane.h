#pragma once

#include <memory>
#include <optional>

#include "cowslipknot/coordination/evacuation.h"
#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/move_orders.h"
#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/response_time_bound.h"
#include "cowslipknot/gateway/server_registry.h"
#include "cowslipknot/gateway/silent_peers.h"
#include "cowslipknot/state/unlisted_servers.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/gateway_store_relay.h"
#include "serve/gateway_worker.h"
#include "serve/row_log_filter.h"

namespace cowslipknot::gateway {

/// State of the control thread. Follows the store's tables, exchanges reports
/// with other instances through the store, and publishes snapshots to the
/// traffic thread.
///
/// In a failure domain with many instances, most follow one of its relays
/// (StoreRelay) instead of reading the store. The loops that read the store are
/// then paused; they resume as soon as no relay responds in time.
class ControlPlane {
 public:
  ControlPlane(const Settings& settings, const PlatformAdapter& adapter,
               Worker& worker, asio::io_context& context);

  void Start();
  /// Writes a final report with this instance's last counts, which tells the
  /// other instances that it is stopping.
  Awaitable<void> Leave();

  /// Whether requests can be served: the configuration is fresh and servers
  /// are known.
  bool Ready() const;
  Awaitable<std::string> RenderMetrics();

 private:
  /// Read position in a table of the store.
  struct TableCursor {
    std::string table;
    StorePosition since;            ///< up to which changes are known
    bool needs_full_read = true;    ///< the changes since then can't be read
    bool is_full_read = false;      ///< the last read covers the table
    bool last_call_failed = false;  ///< without an answer of the table
  };

  /// Reads the changes of a table since the last read, or the complete table.
  /// On failure, records it, waits before returning nothing, and leaves the
  /// cursor so that the next call continues from there, or reads the complete
  /// table if the store no longer has the changes or has been restored.
  Awaitable<std::optional<StoreRows>> ReadChanges(TableCursor& cursor,
                                                  Milliseconds wait);
  /// Moves a cursor to the position of an answer. Changes in an answer of
  /// another era are not those since the cursor's position: versions have been
  /// assigned anew, so that the complete table is to be read.
  /// @return whether the rows of the answer may be applied
  bool MoveCursor(TableCursor& cursor, const StorePosition& answered);
  Awaitable<void> WatchConfiguration();
  Awaitable<void> WatchServers();
  Awaitable<FleetCoordinator::ReportInput> CollectReportInput();
  Awaitable<void> ExchangeReports();
  /// Waits until the next report is due, or until NoticeReclaims() finds that
  /// capacity is to be planned.
  Awaitable<void> WaitForNextReport();
  /// Plans the capacity soon if the registrations show a reclaim.
  void NoticeReclaims();
  Awaitable<void> WriteReportsOfFollowers();
  /// Passes the evidence of quarantines in the reports on to the traffic
  /// thread, for a process that no peer could tell of them.
  void ImportCrashEvidence();
  /// Exchanges evidence with the other instances directly while a move is
  /// undecided, so that a bad version gets no requests until the next reports.
  Awaitable<void> ExchangeMoveEvidence();
  void OnMoveEvidence(const PeerFrame& frame);

  /// A registered server's process, and what this instance learned of it.
  struct KnownBackend {
    ServerBoot process;
    Endpoint address;
    std::shared_ptr<BackendState> state;
  };
  using KnownBackends = std::map<ServerId, KnownBackend>;

  // Following a relay: gateway_relay_follower.cc.
  /// Follows the domain's relays while there are any and this instance is none.
  Awaitable<void> FollowRelays();
  bool IsRelay() const;
  /// Selects the relay to ask next; nothing if the store is to be read.
  std::optional<InstanceSummary> ChooseRelay() const;
  /// Asks a relay once. @return whether it sent an update
  Awaitable<bool> FollowOnce(InstanceSummary relay);
  Awaitable<PeerFrame> BuildFollowRequest(const InstanceSummary& relay);
  void ApplyUpdate(const wire::FollowUpdateT& update,
                   const InstanceSummary& relay);
  /// Counts the configuration as confirmed, unless the relay has a later one in
  /// force than this instance.
  void ConfirmUpdate(const wire::FollowUpdateT& update,
                     std::chrono::nanoseconds sent_at);
  void ApplyUpdatedServers(const wire::FollowUpdateT& update);
  void ApplyUpdatedFleet(const wire::FollowUpdateT& update);
  void SetFollowing(bool following);
  /// Waits until this instance follows no relay.
  Awaitable<void> WhileFollowing();

  void ApplyMoveOrders(const StoreRows& rows, bool is_full_read);
  void ApplyConfiguration(const StoreRows& rows, bool is_full_read);
  /// Applies the orders to evacuate failure domains: gateway_evacuation.cc.
  void ApplyEvacuations(const StoreRows& rows, bool is_full_read);
  void LogEvacuations(const std::vector<DomainId>& before) const;
  /// Whether a registered server may get new requests.
  bool IsEvacuated(const ServerEntry& entry) const {
    return m_evacuations.Contains(entry.domain);
  }
  void OnConfigurationConfirmed(std::chrono::nanoseconds confirmed);

  // A configuration that the store lost: gateway_lost_configuration.cc.
  /// Puts a decoded row into force, unless a later version is.
  /// @param row  its position is unknown if a peer sent it
  void InstallConfiguration(Configuration decoded, const StoreRow& row);
  std::uint64_t ConfigurationInForce() const {
    return m_configuration ? m_configuration->version : 0;
  }
  /// Asks the instances that may have a later configuration in force than the
  /// store has: some others after the start, later those that reported one.
  void AskPeersForConfiguration();
  /// Asks other instances, and waits for their answers, before a first
  /// configuration of an era counts as confirmed: this instance may have missed
  /// a later one that the store lost.
  Awaitable<void> AskBeforeConfirming(StoreEra era);
  /// At most `limit` of the other instances, spread evenly over their list.
  std::vector<InstanceSummary> SamplePeers(std::size_t limit) const;
  Awaitable<void> AskForConfiguration(InstanceSummary peer);
  /// Applies the row that a peer sent. Only the store confirms a configuration.
  void ApplyPeerConfiguration(const PeerFrame& answer);
  /// Takes over decisions and orders of moves that the store has lost.
  void ApplyPeerMoves(const std::vector<GossipRecord>& moves);
  Awaitable<PeerFrame> AnswerConfiguration(std::uint64_t known_version);
  bool ApplyServers(const StoreRows& rows, bool is_full_read);
  std::vector<ServerEntry> FindRemovedServers(
      const std::vector<ServerEntry>& before) const;
  /// Notifies the other instances of leaving servers immediately, so that each
  /// can read registrations less often.
  void AnnounceLeavingServers(const std::vector<ServerEntry>& removed_servers);
  void OnServersLeaving(const std::vector<GossipRecord>& servers);
  /// Handles a response of a server, to this instance, that says that the
  /// server is leaving, and tells the other instances.
  /// @param read_at  when the response's header was read, in TimeSinceBoot()
  void OnLeavingResponse(const ServerId& server, std::int64_t started_ms,
                         std::chrono::nanoseconds read_at);
  /// Notifies instances that have started since the last call of servers that
  /// said in a response to this instance that they are leaving.
  void NotifyNewInstances();
  /// Tells the other instances, also silent ones, of leaving servers.
  void BroadcastLeaving(std::shared_ptr<const PeerFrame> frame);
  void UpdateSilentPeers();
  /// Handles the notices of such responses to other instances.
  void OnLeavingResponsesOfPeers(const std::vector<GossipRecord>& servers);
  void SetStoreReachable(bool reachable, const std::string& detail);
  /// Removes servers whose grace period ends before the next read, on time.
  void ScheduleLapse();
  void Publish();
  /// Passes the usable servers on to followers.
  void RelayServers();
  /// Summarizes the reports and passes the result on to followers.
  void RefreshFleet();
  /// Tells the traffic thread that the set of instances was read.
  void OnInstancesRead();
  /// Applies a change of the fleet, or new demand once it is due.
  void UpdateFromFleet();
  void UpdateQuotaLenders();
  void UpdateQuotaShares();
  /// Returns the instances that lend the pooled share of each limit.
  std::map<WorkspaceId, std::vector<Endpoint>> FindQuotaLenders() const;
  /// Regular time between this instance's reports.
  Milliseconds ReportInterval() const;
  /// Delay until this instance's next report.
  Milliseconds NextReportDelay() const;
  std::map<ServiceId, std::vector<Backend>> BuildBackends();
  /// What is known of a registered server's process.
  KnownBackend FindOrCreateBackend(const ServerEntry& entry,
                                   const Service* service);
  /// The state of the process before this one at its address; null if there is
  /// none known.
  std::shared_ptr<BackendState> FindFormerState(const ServerBoot& process,
                                                const Endpoint& address) const;
  /// Keeps what is known of servers that are no longer registered.
  void KeepUnregistered(const KnownBackends& registered);
  const Service* FindService(const ServiceId& name) const;

  const Settings& m_settings;
  const PlatformAdapter& m_adapter;
  Worker& m_worker;
  asio::io_context& m_context;
  ConfigurationPtr m_configuration;
  std::shared_ptr<const RouteTable> m_routes;
  StoreRow m_configuration_row;  ///< the one in force
  std::size_t m_next_peer_to_ask = 0;
  StoreEra m_confirmed_era;  ///< of the last confirmed configuration
  /// Start of the process, or when it last noticed a restore.
  std::chrono::nanoseconds m_ask_since = TimeSinceBoot();
  ServerRegistry m_registry;
  KnownBackends m_backends;
  UnlistedServers<std::shared_ptr<BackendState>> m_unregistered_backends;
  std::map<WorkspaceId, DelayedShare> m_quota_shares;
  std::map<WorkspaceId, LenderStatus> m_lender_statuses;
  ResponseTimeBound m_response_time_bound;
  SilentPeers m_silent_peers;
  MoveOrders m_move_orders;
  EvacuationOrders m_evacuations;
  FleetView m_fleet;
  std::uint64_t m_instances_digest = 0;
  std::map<WorkspaceId, double> m_reported_demand;  ///< at this instance
  std::chrono::nanoseconds m_shares_updated_at{0};
  RowLogFilter m_unreadable_rows;    ///< of the table of servers
  StorePosition m_servers_position;  ///< of the store, as last read
  /// Servers that said in a response to this instance that they are leaving,
  /// and their start times.
  std::map<ServerId, std::int64_t> m_leaving_responses;
  std::set<InstanceSummary> m_notified_instances;
  TableCursor m_configuration_cursor;
  bool m_following = false;
  asio::steady_timer m_following_ended;
  asio::steady_timer m_lapse_timer;
  asio::steady_timer m_report_timer;
  ReclaimWatch m_reclaims;
  bool m_plan_due = false;  ///< servers were reclaimed
  /// Relays that did not respond, and when to ask them again.
  std::map<NodeId, std::chrono::nanoseconds> m_relay_retry_at;
  std::uint64_t m_relay_cursor = 0;  ///< in the relay's RegistrationLog
  InstanceSummary m_followed_relay;  ///< that sent the last update
  StorePosition m_relay_moves_position;
  std::chrono::nanoseconds m_report_due{0};
  std::size_t m_serving_instances = 0;  ///< as last logged
  const std::chrono::nanoseconds m_started_at = TimeSinceBoot();
  bool m_servers_known = false;
  bool m_store_reachable = true;
  bool m_publication_due = false;  ///< an exception ended the last Publish()
  bool m_configuration_readable = false;
  FleetCoordinator m_coordinator;
  StoreRelay m_relay;
};

}  // namespace cowslipknot::gateway
