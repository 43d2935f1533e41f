#include "serve/control.h"

// Obtains and grants permits for servers that name a limit.
namespace cowslipknot {
namespace {

/// A request waits meanwhile for the permit to be sent.
constexpr Milliseconds kPermitTimeout(60);

ServerStart MakeServerStart(const ServerId& id, Incarnation incarnation) {
  return {id, static_cast<std::int64_t>(incarnation.Count())};
}

}  // namespace

std::unique_ptr<PermitExchange> Control::MakePermitExchange() {
  PermitExchange::Hooks hooks;
  hooks.call = [this](NodeId node,
                      PeerFrame frame) -> Awaitable<Result<PeerFrame>> {
    const auto member = m_gossip->Members().Find(node);
    if (!member) co_return Fail(ResultCode::kPeerUnreachable, node.Text());
    co_return co_await m_gossip->CallAddress(member->info.peer_address,
                                             std::move(frame), kPermitTimeout);
  };
  hooks.instances = [this] {
    std::vector<PermitInstance> instances;
    for (const auto& member : m_gossip->Members().Live())
      instances.push_back({member.info.node, member.info.domain});
    return instances;
  };
  hooks.find_server = [this](const ServerId& id) { return m_fleet.Find(id); };
  return std::make_unique<PermitExchange>(m_settings.node, m_settings.domain,
                                          m_context.get_executor(),
                                          std::move(hooks));
}

void Control::BuildPermitHooks() {
  const auto executor = m_context.get_executor();
  m_hooks.on_limit_statement = [this, executor](
                                   const ServerId& id, Incarnation incarnation,
                                   const LimitStatement& statement) {
    asio::post(executor,
               [this, start = MakeServerStart(id, incarnation), statement] {
                 m_permits->OnStatement(start, statement);
               });
  };
  m_hooks.acquire_permit = [this](ServerId id,
                                  Incarnation incarnation) -> Awaitable<bool> {
    co_return co_await RunOn(
        m_hooks.executor, m_permits->Acquire(MakeServerStart(id, incarnation)));
  };
  m_hooks.claims = m_claims.get();
}

}  // namespace cowslipknot
