#include <algorithm>

#include "base/clock.h"
#include "serve/control.h"
#include "transport/event_loop.h"

// Obtains and grants permits for servers that name a limit.
namespace cowslipknot {
namespace {

ServerBoot MakeServerBoot(const ServerId& id, Incarnation incarnation) {
  return {id, static_cast<std::int64_t>(incarnation.Count())};
}

}  // namespace

std::unique_ptr<PermitBook> Control::MakePermitBook() {
  PermitBook::Hooks hooks;
  hooks.call = [this](NodeId node, PeerFrame frame) {
    return CallPermitInstance(std::move(node), std::move(frame));
  };
  hooks.tell = [this](const std::optional<NodeId>&,
                      const PermitBook::NoticeBuilder& build_notice) {
    for (const auto& instance : m_permits->Granters()) {
      if (instance.node == m_settings.node) continue;
      Spawn(m_context.get_executor(), "tell of a server's limit",
            TellOfLimit(instance.node, build_notice()));
    }
  };
  hooks.find_server =
      [this](const ServerId& id) -> std::optional<PermitServer> {
    const auto server = m_fleet.Find(id);
    if (!server) return std::nullopt;
    const ServerBoot start = MakeServerBoot(id, server->record.incarnation);
    return PermitServer{start.started_ms, std::nullopt};
  };
  hooks.record = [this](const ServerBoot& process, const PermitState& state) {
    const auto server = m_fleet.Find(process.server);
    const bool is_listed =
        server &&
        MakeServerBoot(process.server, server->record.incarnation) == process;
    if (!is_listed) return;
    server->load->limited = state.limit.has_value();
    server->load->withheld_until_ns = state.withheld_until.count();
  };
  // Traffic threads count the permits of their requests.
  hooks.count = [](const ServerId&, PermitEvent) {};
  return std::make_unique<PermitBook>(
      PermitBook::Identity{m_settings.node, m_settings.domain, false},
      std::move(hooks));
}

void Control::UpdatePermits() {
  m_permits->UpdateServers();
  PermitInstances instances;
  for (const auto& member : m_gossip->Members().Live())
    instances.granters.push_back({member.info.node, member.info.domain});
  std::sort(instances.granters.begin(), instances.granters.end());
  instances.since = TimeSinceBoot();
  // Others may have granted while this instance knew only itself.
  instances.voids_roles = m_permits->Granters().size() <= 1;
  m_permits->UpdateInstances(std::move(instances));
}

PeerFrame Control::HandlePermitFrame(const PeerFrame& frame) {
  UpdatePermits();
  return m_permits->Handle(frame);
}

Awaitable<bool> Control::AcquirePermit(ServerBoot start) {
  UpdatePermits();
  co_return co_await m_permits->Acquire(std::move(start));
}

Awaitable<Result<PeerFrame>> Control::CallPermitInstance(NodeId node,
                                                         PeerFrame frame) {
  const auto member = m_gossip->Members().Find(node);
  if (!member) co_return Fail(ResultCode::kPeerUnreachable, node.Text());
  co_return co_await m_gossip->CallAddress(
      member->info.peer_address, std::move(frame), PermitBook::kAskTimeout);
}

Awaitable<void> Control::TellOfLimit(NodeId node, PeerFrame notice) {
  // An instance that is not reached learns it when it asks for a permit, or
  // from the server.
  co_await CallPermitInstance(std::move(node), std::move(notice));
}

void Control::BuildPermitHooks() {
  const auto executor = m_context.get_executor();
  m_hooks.on_limit_statement = [this, executor](
                                   const ServerId& id, Incarnation incarnation,
                                   const LimitStatement& statement) {
    asio::post(executor,
               [this, start = MakeServerBoot(id, incarnation), statement] {
                 m_permits->OnStatement(start, statement);
               });
  };
  m_hooks.acquire_permit = [this](ServerId id,
                                  Incarnation incarnation) -> Awaitable<bool> {
    co_return co_await RunOn(m_hooks.executor,
                             AcquirePermit(MakeServerBoot(id, incarnation)));
  };
  m_hooks.claims = m_claims.get();
}

}  // namespace cowslipknot
