#include "serve/control.h"
#include "transport/event_loop.h"

// Spreads what is known of crashed servers among instances and threads.
namespace cowslipknot {
namespace {

constexpr Milliseconds kNoticeTimeout(500);

}  // namespace

std::vector<Endpoint> Control::PeerAddresses() {
  std::vector<Endpoint> addresses;
  for (const auto& member : m_gossip->Members().Live()) {
    if (member.info.node != m_settings.node)
      addresses.push_back(member.info.peer_address);
  }
  return addresses;
}

std::unique_ptr<CrashWatch> Control::MakeCrashWatch() {
  const auto executor = m_context.get_executor();
  CrashWatch::Hooks hooks;
  hooks.peers = [this] { return PeerAddresses(); };
  hooks.call = [this](Endpoint peer, PeerFrame frame,
                      Milliseconds timeout) -> Awaitable<Result<PeerFrame>> {
    co_return co_await m_gossip->CallAddress(peer, std::move(frame), timeout);
  };
  hooks.broadcast = [this, executor](const std::vector<Endpoint>& peers,
                                     const PeerFrame& frame) {
    auto send = [](GossipNode& gossip, Endpoint peer,
                   PeerFrame copy) -> Awaitable<void> {
      co_await gossip.CallAddress(peer, std::move(copy), kNoticeTimeout);
    };
    for (const auto& peer : peers)
      Spawn(executor, "announce crashes", send(*m_gossip, peer, frame));
  };
  hooks.on_change = [this](const std::vector<Quarantine>& active) {
    PublishQuarantines(active);
  };
  return std::make_unique<CrashWatch>(
      executor, m_settings.node, m_settings.peers_advertised, std::move(hooks));
}

void Control::PublishQuarantines(const std::vector<Quarantine>& active) {
  const auto quarantines =
      std::make_shared<const std::vector<Quarantine>>(active);
  for (const auto& worker : m_workers) {
    asio::post(worker->Executor(), [target = worker.get(), quarantines] {
      target->Crashes().SetQuarantines(quarantines);
    });
  }
}

}  // namespace cowslipknot
