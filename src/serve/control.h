#pragma once

#include <memory>
#include <vector>

#include "coordination/claim_writer.h"
#include "coordination/configuration_manager.h"
#include "coordination/gossip_node.h"
#include "coordination/move_controller.h"
#include "cowslipknot/coordination/evacuation_request.h"
#include "serve/crash_watch.h"
#include "serve/permit_book.h"
#include "serve/request_backups.h"
#include "serve/worker.h"

namespace cowslipknot {

using Workers = std::vector<std::unique_ptr<Worker>>;

/// Owns the state of the control thread: membership, configuration, fleet,
/// moves and claims. Publishes snapshots of it to the traffic threads.
class Control {
 public:
  Control(const Settings& settings, Workers& workers);

  asio::io_context& Context() { return m_context; }
  /// The hooks to construct workers with.
  const ControlHooks& Hooks() const { return m_hooks; }

  /// Starts the background loops. Call once all workers exist.
  void Start(const std::shared_ptr<tcp::acceptor>& peers);

  /// Announces that this instance is draining and backs up requests in flight
  /// to peers.
  Awaitable<void> AnnounceStop();
  /// Hands the requests that are still in flight over to peers.
  Awaitable<void> HandOverAll();
  /// Whether writes to the table service, such as outcomes, are outstanding.
  bool HasPendingWrites() const { return m_rows->InFlight() > 0; }
  /// Discards the backups of this instance's requests and announces that it has
  /// left the cluster.
  Awaitable<void> LeaveCluster();

  GossipNode& Gossip() { return *m_gossip; }
  ConfigurationManager& GetConfigurationManager() {
    return *m_configuration_manager;
  }
  MoveController& Moves() { return *m_moves; }
  RequestBackups& Backups() { return *m_backups; }
  const Fleet& GetFleet() const { return m_fleet; }
  const PlatformCallCounts& PlatformCalls() const {
    return m_platform->CallCounts();
  }
  const LinkTraffic& ServedTraffic() const { return *m_served_traffic; }
  const Settings& GetSettings() const { return m_settings; }
  bool Draining() const { return m_draining; }
  bool PlatformReachable() const { return m_platform_reachable; }
  void SetReclaimHandler(std::function<void()> handler) {
    m_reclaim_handler = std::move(handler);
  }
  Awaitable<MetricSet> CollectMetrics();
  /// Queries each live instance for the revision in force there. Instances that
  /// do not answer are left out.
  Awaitable<std::map<NodeId, Revision>> CollectRevisions();
  /// Publishes a revision that evacuates a failure domain, or ends that.
  /// @return the revision in force already if it changes nothing
  Awaitable<Result<Revision>> ChangeEvacuations(EvacuationRequest request);

 private:
  void BuildHooks();
  std::unique_ptr<PermitBook> MakePermitBook();
  void BuildPermitHooks();
  /// Applies changes of the instances and of the listed servers to the permits.
  void UpdatePermits();
  PeerFrame HandlePermitFrame(const PeerFrame& frame);
  Awaitable<bool> AcquirePermit(ServerBoot start);
  Awaitable<Result<PeerFrame>> CallPermitInstance(NodeId node, PeerFrame frame);
  Awaitable<void> TellOfLimit(NodeId node, PeerFrame notice);
  std::unique_ptr<CrashWatch> MakeCrashWatch();
  std::vector<Endpoint> PeerAddresses();
  void PublishQuarantines(const std::vector<Quarantine>& active);
  void PublishSnapshot();
  void LogEvacuations();
  void OnRecord(const GossipRecord& record, const NodeId& sender);
  bool AcceptsRecord(const GossipRecord& record) const;
  void MarkLeaving(const ServerId& id, Incarnation incarnation);
  /// Marks a server that said in an answer that it is leaving.
  /// @param read_at  when the answer's head was read, in TimeSinceBoot()
  void OnLeavingAnswer(const ServerId& id, Incarnation incarnation,
                       std::chrono::nanoseconds read_at);
  /// Tells peers and traffic threads of a server that was marked as leaving.
  void AnnounceLeaving(const ServerId& id, Incarnation incarnation);
  void StartTakenOverRun(const Descriptor& descriptor);
  Awaitable<void> FetchConfiguration(NodeId first);
  Awaitable<void> PollPlatform();
  Awaitable<bool> PollInstances();
  /// Fetches the instance list from a peer when the platform does not answer.
  Awaitable<void> FetchInstances();
  std::string EncodeInstances() const;
  void ApplyInstances(std::vector<InstanceRecord> rows);
  Awaitable<void> StepMoves();
  Awaitable<FrameBytes> HandleFrame(FrameBytes bytes);
  Awaitable<std::vector<std::shared_ptr<ModelRun>>> RunsInFlight();
  Awaitable<Descriptor> DescribeRun(std::shared_ptr<ModelRun> run);
  Awaitable<bool> BackUpRun(std::shared_ptr<ModelRun> run);

  const Settings& m_settings;
  Workers& m_workers;
  asio::io_context m_context{1};
  ControlHooks m_hooks;
  std::shared_ptr<HttpClient> m_http;
  std::unique_ptr<PlatformClient> m_platform;
  std::unique_ptr<RowWriter> m_rows;
  std::unique_ptr<ClaimWriter> m_claims;
  std::unique_ptr<GossipNode> m_gossip;
  std::unique_ptr<ConfigurationManager> m_configuration_manager;
  std::unique_ptr<MoveController> m_moves;
  std::unique_ptr<RequestBackups> m_backups;
  std::unique_ptr<PermitBook> m_permits;
  std::unique_ptr<CrashWatch> m_crashes;
  std::shared_ptr<LinkTraffic> m_served_traffic =
      std::make_shared<LinkTraffic>();
  std::mt19937_64 m_random;
  Fleet m_fleet;
  std::uint64_t m_instance_sequence = 0;
  bool m_instances_known = false;
  bool m_platform_reachable = true;
  bool m_draining = false;
  std::set<DomainId> m_evacuated;     ///< as logged
  Revision m_highest_known_revision;  ///< announced by this instance's peers
  bool m_fetching_configuration = false;
  std::function<void()> m_reclaim_handler;
};

}  // namespace cowslipknot
