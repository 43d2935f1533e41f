// Draining: backups of requests in flight, their handover, and the takeover of
// peers' requests.
#include <xxhash.h>

#include "cowslipknot/events.h"
#include "serve/control.h"
#include "serve/model_run.h"

namespace cowslipknot {

Awaitable<Descriptor> Control::DescribeRun(std::shared_ptr<ModelRun> run) {
  auto describe =
      [](std::shared_ptr<ModelRun> target) -> Awaitable<Descriptor> {
    target->MarkBackedUp();
    co_return target->Describe();
  };
  co_return co_await RunOn(run->Owner().Executor(), describe(run));
}

Awaitable<bool> Control::BackUpRun(std::shared_ptr<ModelRun> run) {
  if (IsDisabled(m_settings, "hand_over")) co_return false;
  Descriptor descriptor = co_await DescribeRun(run);
  co_return co_await m_backups->BackUp(std::move(descriptor));
}

Awaitable<std::vector<std::shared_ptr<ModelRun>>> Control::RunsInFlight() {
  std::vector<std::shared_ptr<ModelRun>> runs;
  for (const auto& worker : m_workers) {
    auto collect = [](Worker& source)
        -> Awaitable<std::vector<std::shared_ptr<ModelRun>>> {
      std::vector<std::shared_ptr<ModelRun>> unfinished;
      for (const auto& [id, run] : source.Runs()) {
        if (!run->Finished()) unfinished.push_back(run);
      }
      co_return unfinished;
    };
    const auto part = co_await RunOn(worker->Executor(), collect(*worker));
    runs.insert(runs.end(), part.begin(), part.end());
  }
  co_return runs;
}

Awaitable<void> Control::AnnounceStop() {
  m_draining = true;
  LogEvent(Event::kDraining);
  PublishSnapshot();
  for (const auto& run : co_await RunsInFlight()) co_await BackUpRun(run);
  co_await m_backups->ForwardHeldBackups();
}

Awaitable<void> Control::HandOverAll() {
  if (IsDisabled(m_settings, "hand_over")) co_return;
  for (const auto& run : co_await RunsInFlight()) {
    Descriptor descriptor = co_await DescribeRun(run);
    const bool handed = co_await m_backups->HandOver(std::move(descriptor));
    if (!handed) continue;
    asio::post(run->Owner().Executor(), [run] { run->HandOver(); });
  }
}

Awaitable<void> Control::LeaveCluster() {
  co_await m_backups->DiscardAllBackups();
  m_gossip->Members().Leave();
  std::vector<NodeId> peers;
  for (const auto& member : m_gossip->Members().Live()) {
    if (member.info.node != m_settings.node) {
      peers.push_back(member.info.node);
    }
  }
  constexpr std::size_t kMaxPeersNotifiedDirectly = 3;
  if (peers.size() > kMaxPeersNotifiedDirectly) {
    peers.resize(kMaxPeersNotifiedDirectly);
  }
  for (const auto& peer : peers) {
    PeerFrame frame;
    frame.kind = wire::Kind::Probe;
    const auto* own = m_gossip->Records().Find(MemberKey(m_settings.node));
    if (own != nullptr) AddRecords(frame, {*own});
    co_await m_gossip->Call(peer, std::move(frame));
  }
}

void Control::StartTakenOverRun(const Descriptor& descriptor) {
  const auto& current = m_configuration_manager->Current();
  if (!current) return;
  const auto route = current->objects.routes.find(RouteId(descriptor.route));
  auto request = ParseModelRequest(descriptor.path, descriptor.body);
  if (route == current->objects.routes.end() || !request) return;
  const std::size_t hash =
      XXH3_64bits(descriptor.request.data(), descriptor.request.size());
  Worker& worker = *m_workers.at(hash % m_workers.size());
  auto run = std::make_shared<ModelRun>(worker, RequestId(descriptor.request),
                                        WorkspaceId(descriptor.workspace),
                                        route->second, std::move(*request));
  run->Restore(descriptor);
  asio::post(worker.Executor(), [&worker, run] {
    if (worker.FindRun(run->Id())) return;
    worker.AddRun(run);
    run->Start(TraceContext());
  });
}

}  // namespace cowslipknot
