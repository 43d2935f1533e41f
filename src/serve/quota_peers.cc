#include "serve/quota_peers.h"

#include <xxhash.h>

#include <cmath>

#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cowslipknot/events.h"

namespace cowslipknot::gateway {
namespace {

/// Longest wait for a home's answer; requests wait meanwhile.
constexpr Milliseconds kBorrowTimeout(60);
/// After a failure, until a home is asked again.
constexpr Milliseconds kSilentPause(1000);
/// Longest time for which a pool that did not lend is not asked again; its
/// limit may have been raised meanwhile.
constexpr Milliseconds kMostEmpty(250);

}  // namespace

QuotaPeers::QuotaPeers(PeerLinks& links, const Settings& settings)
    : m_settings(settings),
      m_links(links),
      m_pool(settings.quota),
      m_first_home(XXH3_64bits(settings.node.Text().data(),
                               settings.node.Text().size()) %
                   kQuotaHomes) {
  m_links.Handle(wire::Kind::BorrowQuota,
                 [this](const PeerFrame& frame) { return Answer(frame); });
}

void QuotaPeers::Update(const std::map<WorkspaceId, double>& pooled,
                        std::map<WorkspaceId, std::vector<Endpoint>> homes,
                        ConfigurationPtr configuration) {
  for (const auto& [workspace, part] : pooled) {
    m_pool.SetPart(workspace, part, BootTime());
  }
  m_homes = std::move(homes);
  m_configuration = std::move(configuration);
}

Awaitable<std::optional<Milliseconds>> QuotaPeers::Borrow(
    const Workspace& workspace, double amount) {
  const auto found = m_homes.find(workspace.name);
  if (found == m_homes.end()) co_return std::nullopt;
  const std::vector<Endpoint> homes = found->second;
  std::optional<Milliseconds> least;
  // Instances begin with different homes, so that these are used evenly.
  for (std::size_t i = 0; i < homes.size(); ++i) {
    const Endpoint& home = homes[(m_first_home + i) % homes.size()];
    const auto wait = co_await BorrowFrom(home, workspace, amount);
    if (!wait) continue;
    if (wait->count() == 0) co_return wait;
    least = std::min(least.value_or(*wait), *wait);
  }
  co_return least;
}

Awaitable<std::optional<Milliseconds>> QuotaPeers::BorrowFrom(
    const Endpoint& home, const Workspace& workspace, double amount) {
  if (home == m_settings.peers) {
    co_return m_pool.Lend(workspace, amount, BootTime());
  }
  const auto now = BootTime();
  const auto silent = m_silent_until.find(home);
  if (silent != m_silent_until.end() && now < silent->second) {
    co_return std::nullopt;
  }
  const std::pair<WorkspaceId, Endpoint> limit{workspace.name, home};
  const Shortage& shortage = m_shortages[limit];
  if (now < shortage.ask_after && amount >= shortage.amount) {
    co_return std::chrono::ceil<Milliseconds>(shortage.lends_at - now);
  }
  const auto wait = co_await Ask(home, limit.first, amount);
  if (!wait) {
    LogEvent(Event::kQuotaHomeSilent, {{"home", FormatEndpoint(home)},
                                       {"workspace", limit.first.Text()},
                                       {"detail", wait.error().detail}});
    m_silent_until[home] = BootTime() + kSilentPause;
    co_return std::nullopt;
  }
  if (wait->count() > 0) {
    const auto refused = BootTime();
    m_shortages[limit] = {amount, refused + std::min(*wait, kMostEmpty),
                          refused + *wait};
  }
  co_return *wait;
}

Awaitable<Result<Milliseconds>> QuotaPeers::Ask(const Endpoint& home,
                                                const WorkspaceId& workspace,
                                                double amount) {
  PeerFrame frame;
  frame.kind = wire::Kind::BorrowQuota;
  frame.text = workspace.Text();
  frame.amount = static_cast<std::uint64_t>(std::ceil(amount));
  const auto answer =
      co_await m_links.Call(home, std::move(frame), kBorrowTimeout);
  if (!answer) co_return tl::make_unexpected(answer.error());
  // An answer without the workspace's name says that nothing is lent there.
  const bool lends =
      answer->kind == wire::Kind::Answer && answer->text == workspace.Text();
  if (!lends) co_return Fail(ResultCode::kPeerUnreachable, "lends nothing");
  co_return Milliseconds(static_cast<std::int64_t>(answer->wait_ms));
}

PeerFrame QuotaPeers::Answer(const PeerFrame& frame) {
  PeerFrame answer;
  if (!m_configuration) return answer;
  const auto found = m_configuration->workspaces.find(WorkspaceId(frame.text));
  if (found == m_configuration->workspaces.end()) return answer;
  const auto wait =
      m_pool.Lend(found->second, static_cast<double>(frame.amount), BootTime());
  if (!wait) return answer;
  answer.text = frame.text;
  answer.amount = wait->count() == 0 ? frame.amount : 0;
  answer.wait_ms = static_cast<std::uint64_t>(wait->count());
  return answer;
}

}  // namespace cowslipknot::gateway
