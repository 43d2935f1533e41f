#pragma once

#include <memory>
#include <optional>

#include "cowslipknot/coordination/lease.h"
#include "cowslipknot/gateway/answer_age.h"
#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/server_registry.h"
#include "serve/gateway_duties.h"
#include "serve/gateway_worker.h"

namespace cowslipknot::gateway {

/// The control thread's state: what the store says, and what this instance
/// tells the others through it. Publishes snapshots to the traffic thread.
class Control {
 public:
  Control(const Settings& settings, const Dialect& dialect, Worker& worker,
          asio::io_context& context);

  void Start();
  /// Tells the others that this instance stops, with its last counts.
  Awaitable<void> Leave();

  /// Whether requests can be served: the configuration is fresh and servers
  /// are known.
  bool Ready() const;
  Awaitable<std::string> RenderMetrics();

 private:
  /// How far a table of the store has been read.
  struct TableCursor {
    std::string table;
    std::optional<std::uint64_t> since;  ///< none: it is read whole
    bool whole = false;                  ///< the last rows are the whole table
    bool failed = false;                 ///< the last call
  };

  /// Reads what has changed in a table. A failure is noted and followed by a
  /// pause; the next call goes on from there.
  Awaitable<std::optional<StoreRows>> ReadChanges(TableCursor& cursor,
                                                  Milliseconds wait);
  Awaitable<void> FollowConfiguration();
  Awaitable<void> FollowServers();
  Awaitable<Duties::Input> CollectReport();
  Awaitable<void> ExchangeReports();

  void ApplyOrders(const StoreRows& rows);
  void ApplyConfiguration(const StoreRows& rows);
  bool ApplyServers(const StoreRows& rows, bool whole);
  std::vector<ServerEntry> NoLongerUsable(
      const std::vector<ServerEntry>& before) const;
  /// Tells the other instances at once of servers that leave, so that each
  /// can read registrations less often.
  void TellLeaving(const std::vector<ServerEntry>& left);
  void NoteLeaving(const std::vector<SpreadRecord>& servers);
  void NoteStore(bool reachable, const std::string& detail);
  void Publish();
  void NoteInstances();
  void UpdateShares();
  /// Where the pooled part of each limit is lent.
  std::map<WorkspaceId, std::vector<Endpoint>> FindHomes(
      const std::vector<const InstanceReport*>& serving) const;
  /// Time until this instance reports again.
  Milliseconds ReportPause() const;
  std::map<ServiceId, std::vector<Backend>> BuildServers();
  const Service* FindService(const ServiceId& name) const;

  const Settings& m_settings;
  const Dialect& m_dialect;
  Worker& m_worker;
  asio::io_context& m_context;
  ConfigurationPtr m_configuration;
  std::shared_ptr<const RouteTable> m_routes;
  ServerRegistry m_registry;
  std::map<ServerId, std::pair<std::int64_t, std::shared_ptr<BackendState>>>
      m_states;  ///< by id, with the start that it belongs to
  std::map<WorkspaceId, DelayedShare> m_shares;
  std::map<WorkspaceId, HomeTenure> m_tenures;
  AnswerAge m_answer_age;
  std::map<std::string, MoveOrder> m_orders;  ///< by key
  std::size_t m_instances = 0;                ///< last known to be serving
  const std::chrono::nanoseconds m_started = BootTime();
  bool m_servers_known = false;
  bool m_store_reachable = true;
  bool m_configuration_readable = false;
  Duties m_duties;
};

}  // namespace cowslipknot::gateway
