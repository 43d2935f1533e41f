#pragma once

#include <memory>
#include <vector>

#include "coordination/claim_writer.h"
#include "coordination/configuration_keeper.h"
#include "coordination/move_controller.h"
#include "coordination/peer_mesh.h"
#include "serve/request_keeper.h"
#include "serve/worker.h"

namespace cowslipknot {

using Workers = std::vector<std::unique_ptr<Worker>>;

/// The control thread's state: membership, configuration, fleet, moves and
/// claims. Publishes snapshots to the traffic threads.
class Control {
 public:
  Control(const Settings& settings, Workers& workers);

  asio::io_context& Context() { return m_context; }
  /// The hooks that workers are built with.
  const ControlHooks& Hooks() const { return m_hooks; }

  /// Starts the loops; call once all workers exist.
  void Start(std::shared_ptr<tcp::acceptor> peers);

  /// Announces that this instance stops; copies requests in flight to peers.
  Awaitable<void> AnnounceStop();
  /// Hands what is still in flight to peers.
  Awaitable<void> HandOverAll();
  /// Whether outcomes still wait to be written to the table service.
  bool WritesOutstanding() const { return m_rows->Outstanding() > 0; }
  /// Tells peers that this instance is gone.
  Awaitable<void> Leave();

  PeerMesh& Mesh() { return *m_mesh; }
  ConfigurationKeeper& Keeper() { return *m_keeper; }
  MoveController& Moves() { return *m_moves; }
  RequestKeeper& Requests() { return *m_requests; }
  const Fleet& GetFleet() const { return m_fleet; }
  const PlatformUse& PlatformUsed() const { return m_platform->Use(); }
  const LinkTraffic& ServedTraffic() const { return *m_served; }
  const Settings& GetSettings() const { return m_settings; }
  bool Draining() const { return m_draining; }
  bool PlatformReachable() const { return m_platform_reachable; }
  void OnReclaimNotice(std::function<void()> hook) {
    m_on_reclaim = std::move(hook);
  }
  Awaitable<MetricSet> CollectMetrics();
  /// Asks each live instance which revision is in force there. Those that do
  /// not answer are left out.
  Awaitable<std::map<NodeId, Revision>> CollectRevisions();

 private:
  void BuildHooks();
  void PublishSnapshot();
  void OnRecord(const SpreadRecord& record, const NodeId& sender);
  bool AcceptsRecord(const SpreadRecord& record) const;
  void MarkLeaving(const ServerId& id, Incarnation incarnation);
  void StartTakenOver(const Descriptor& descriptor);
  Awaitable<void> FetchConfiguration(NodeId first);
  Awaitable<void> PollPlatform();
  Awaitable<bool> PollInstances();
  /// Takes the instance list from peers while the platform does not answer.
  Awaitable<void> FetchInstances();
  std::string EncodeInstances() const;
  void ApplyInstances(std::vector<InstanceRecord> rows);
  Awaitable<void> StepMoves();
  Awaitable<FrameBytes> HandleFrame(FrameBytes bytes);
  Awaitable<std::vector<std::shared_ptr<ModelRun>>> RunsInFlight();
  Awaitable<Descriptor> DescribeRun(std::shared_ptr<ModelRun> run);
  Awaitable<bool> KeepRun(std::shared_ptr<ModelRun> run);

  const Settings& m_settings;
  Workers& m_workers;
  asio::io_context m_context{1};
  ControlHooks m_hooks;
  std::shared_ptr<HttpClient> m_http;
  std::unique_ptr<PlatformClient> m_platform;
  std::unique_ptr<RowWriter> m_rows;
  std::unique_ptr<ClaimWriter> m_claims;
  std::unique_ptr<PeerMesh> m_mesh;
  std::unique_ptr<ConfigurationKeeper> m_keeper;
  std::unique_ptr<MoveController> m_moves;
  std::unique_ptr<RequestKeeper> m_requests;
  std::shared_ptr<LinkTraffic> m_served = std::make_shared<LinkTraffic>();
  std::mt19937_64 m_random;
  Fleet m_fleet;
  std::uint64_t m_instance_sequence = 0;
  bool m_instances_known = false;
  bool m_platform_reachable = true;
  bool m_draining = false;
  Revision m_hinted;  ///< highest revision heard of
  bool m_fetching = false;
  std::function<void()> m_on_reclaim;
};

}  // namespace cowslipknot
