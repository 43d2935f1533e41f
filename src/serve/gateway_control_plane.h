#pragma once

#include <memory>
#include <optional>

#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/response_time_bound.h"
#include "cowslipknot/gateway/server_registry.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/gateway_worker.h"

namespace cowslipknot::gateway {

/// State of the control thread. Follows the store's tables, exchanges reports
/// with other instances through the store, and publishes snapshots to the
/// traffic thread.
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
    std::optional<std::uint64_t> since;  ///< none: read the complete table
    bool is_full_read = false;           ///< the last read covers the table
    bool last_call_failed = false;       ///< of this cursor
  };

  /// Reads the changes of a table since the last read, or the complete table.
  /// On failure, records it, waits before returning nothing, and leaves the
  /// cursor so that the next call continues from there, or reads the complete
  /// table if the store no longer has the changes.
  Awaitable<std::optional<StoreRows>> ReadChanges(TableCursor& cursor,
                                                  Milliseconds wait);
  Awaitable<void> WatchConfiguration();
  Awaitable<void> WatchServers();
  Awaitable<FleetCoordinator::ReportInput> CollectReportInput();
  Awaitable<void> ExchangeReports();

  void ApplyMoveOrders(const StoreRows& rows);
  void ApplyConfiguration(const StoreRows& rows);
  bool ApplyServers(const StoreRows& rows, bool is_full_read);
  std::vector<ServerEntry> FindRemovedServers(
      const std::vector<ServerEntry>& before) const;
  /// Notifies the other instances of leaving servers immediately, so that each
  /// can read registrations less often.
  void AnnounceLeavingServers(const std::vector<ServerEntry>& removed_servers);
  void OnServersLeaving(const std::vector<GossipRecord>& servers);
  void SetStoreReachable(bool reachable, const std::string& detail);
  void Publish();
  void UpdateInstanceCount();
  void UpdateQuotaShares();
  /// Returns the instances that lend the pooled share of each limit.
  std::map<WorkspaceId, std::vector<Endpoint>> FindQuotaLenders(
      const std::vector<const InstanceReport*>& serving) const;
  /// Delay until this instance's next report.
  Milliseconds NextReportDelay() const;
  std::map<ServiceId, std::vector<Backend>> BuildBackends();
  const Service* FindService(const ServiceId& name) const;

  const Settings& m_settings;
  const PlatformAdapter& m_adapter;
  Worker& m_worker;
  asio::io_context& m_context;
  ConfigurationPtr m_configuration;
  std::shared_ptr<const RouteTable> m_routes;
  ServerRegistry m_registry;
  std::map<ServerId, std::pair<std::int64_t, std::shared_ptr<BackendState>>>
      m_backend_states;  ///< by id, with the server's start time
  std::map<WorkspaceId, DelayedShare> m_quota_shares;
  std::map<WorkspaceId, LenderStatus> m_lender_statuses;
  ResponseTimeBound m_response_time_bound;
  std::map<std::string, MoveOrder> m_move_orders;  ///< by row key
  std::size_t m_serving_instances = 0;             ///< as last logged
  const std::chrono::nanoseconds m_started_at = TimeSinceBoot();
  bool m_servers_known = false;
  bool m_store_reachable = true;
  bool m_configuration_readable = false;
  FleetCoordinator m_coordinator;
};

}  // namespace cowslipknot::gateway
