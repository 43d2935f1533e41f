#include "serve/quota_peers.h"

#include <xxhash.h>

#include <cmath>

#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cowslipknot/events.h"

namespace cowslipknot::gateway {
namespace {

/// Timeout of a loan request to a lender; the caller's request waits meanwhile.
constexpr Milliseconds kBorrowTimeout(60);
/// Delay until a lender that failed is asked again.
constexpr Milliseconds kFailedLenderBackoff(1000);
/// Maximum delay until a lender that denied a loan is asked again; its limit
/// may have been raised meanwhile.
constexpr Milliseconds kMaxShortageBackoff(250);

}  // namespace

QuotaPeers::QuotaPeers(PeerLinks& links, const Settings& settings)
    : m_settings(settings),
      m_links(links),
      m_pool(settings.quota),
      m_first_lender(XXH3_64bits(settings.node.Text().data(),
                                 settings.node.Text().size()) %
                     kLendersPerLimit) {
  m_links.SetHandler(wire::Kind::BorrowQuota, [this](const PeerFrame& frame) {
    return OnBorrowQuota(frame);
  });
}

void QuotaPeers::Update(const std::map<WorkspaceId, double>& lent_shares,
                        std::map<WorkspaceId, std::vector<Endpoint>> lenders,
                        ConfigurationPtr configuration) {
  for (const auto& [workspace, share] : lent_shares) {
    m_pool.SetShare(workspace, share, TimeSinceBoot());
  }
  m_lenders = std::move(lenders);
  m_configuration = std::move(configuration);
}

Awaitable<std::optional<Milliseconds>> QuotaPeers::Borrow(
    const Workspace& workspace, double amount) {
  const auto found = m_lenders.find(workspace.name);
  if (found == m_lenders.end()) co_return std::nullopt;
  const std::vector<Endpoint> lenders = found->second;
  std::optional<Milliseconds> shortest_wait;
  // Instances start with different lenders, which spreads the load evenly.
  for (std::size_t i = 0; i < lenders.size(); ++i) {
    const Endpoint& lender = lenders[(m_first_lender + i) % lenders.size()];
    const auto wait = co_await BorrowFrom(lender, workspace, amount);
    if (!wait) continue;
    if (wait->count() == 0) co_return wait;
    shortest_wait = std::min(shortest_wait.value_or(*wait), *wait);
  }
  co_return shortest_wait;
}

Awaitable<std::optional<Milliseconds>> QuotaPeers::BorrowFrom(
    const Endpoint& lender, const Workspace& workspace, double amount) {
  if (lender == m_settings.peers) {
    co_return m_pool.Lend(workspace, amount, TimeSinceBoot());
  }
  const auto now = TimeSinceBoot();
  const auto backoff = m_backoff_until.find(lender);
  if (backoff != m_backoff_until.end() && now < backoff->second) {
    co_return std::nullopt;
  }
  const std::pair<WorkspaceId, Endpoint> lender_key{workspace.name, lender};
  const Shortage& shortage = m_shortages[lender_key];
  if (now < shortage.retry_at && amount >= shortage.amount) {
    co_return std::chrono::ceil<Milliseconds>(shortage.available_at - now);
  }
  const auto wait = co_await RequestLoan(lender, lender_key.first, amount);
  if (!wait) {
    LogEvent(Event::kQuotaLenderUnresponsive,
             {{"home", FormatEndpoint(lender)},
              {"workspace", lender_key.first.Text()},
              {"detail", wait.error().detail}});
    m_backoff_until[lender] = TimeSinceBoot() + kFailedLenderBackoff;
    co_return std::nullopt;
  }
  if (wait->count() > 0) {
    const auto denied_at = TimeSinceBoot();
    m_shortages[lender_key] = {amount,
                               denied_at + std::min(*wait, kMaxShortageBackoff),
                               denied_at + *wait};
  }
  co_return *wait;
}

Awaitable<Result<Milliseconds>> QuotaPeers::RequestLoan(
    const Endpoint& lender, const WorkspaceId& workspace, double amount) {
  PeerFrame frame;
  frame.kind = wire::Kind::BorrowQuota;
  frame.text = workspace.Text();
  frame.amount = static_cast<std::uint64_t>(std::ceil(amount));
  const auto answer =
      co_await m_links.Call(lender, std::move(frame), kBorrowTimeout);
  if (!answer) co_return tl::make_unexpected(answer.error());
  // A response without the workspace's name means that the instance does not
  // lend this limit.
  const bool lends =
      answer->kind == wire::Kind::Answer && answer->text == workspace.Text();
  if (!lends)
    co_return Fail(ResultCode::kPeerUnreachable, "peer lends no quota");
  co_return Milliseconds(static_cast<std::int64_t>(answer->wait_ms));
}

PeerFrame QuotaPeers::OnBorrowQuota(const PeerFrame& frame) {
  PeerFrame answer;
  if (!m_configuration) return answer;
  const auto found = m_configuration->workspaces.find(WorkspaceId(frame.text));
  if (found == m_configuration->workspaces.end()) return answer;
  const auto wait = m_pool.Lend(
      found->second, static_cast<double>(frame.amount), TimeSinceBoot());
  if (!wait) return answer;
  answer.text = frame.text;
  answer.amount = wait->count() == 0 ? frame.amount : 0;
  answer.wait_ms = static_cast<std::uint64_t>(wait->count());
  return answer;
}

}  // namespace cowslipknot::gateway
