#include "serve/quota_peers.h"

#include <xxhash.h>

#include <cmath>

#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cowslipknot/events.h"
#include "protocol/peer_frame.h"

namespace cowslipknot::gateway {
namespace {

/// Longest wait for a home's answer; requests wait meanwhile.
constexpr Milliseconds kBorrowTimeout(60);
/// After a failure, until a home is asked again.
constexpr Milliseconds kSilentPause(1000);
/// Longest time for which a pool that did not lend is not asked again; its
/// limit may have been raised meanwhile.
constexpr Milliseconds kMostEmpty(250);
/// Instances on the managed platform share no secret.
constexpr char kNoToken[] = "";

}  // namespace

QuotaPeers::QuotaPeers(asio::any_io_executor executor, const Settings& settings)
    : m_settings(settings),
      m_client(std::move(executor),
               settings.peers ? settings.peers->host : std::string()),
      m_pool(settings.quota),
      m_first_home(XXH3_64bits(settings.node.Text().data(),
                               settings.node.Text().size()) %
                   kQuotaHomes) {}

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
    const Endpoint home = homes[(m_first_home + i) % homes.size()];
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
  frame.token = kNoToken;
  frame.sender = m_settings.node.Text();
  frame.text = workspace.Text();
  frame.amount = static_cast<std::uint64_t>(std::ceil(amount));
  FrameBytes bytes = EncodeFrame(frame);
  const auto answer =
      co_await m_client.Call(home, std::move(bytes), kBorrowTimeout);
  if (!answer) co_return tl::make_unexpected(answer.error());
  const auto decoded = DecodeFrame(*answer, kNoToken);
  if (!decoded) co_return tl::make_unexpected(decoded.error());
  const bool lends =
      decoded->kind == wire::Kind::Answer && decoded->text == workspace.Text();
  if (!lends) co_return Fail(ResultCode::kPeerUnreachable, "lends nothing");
  co_return Milliseconds(static_cast<std::int64_t>(decoded->wait_ms));
}

Awaitable<FrameBytes> QuotaPeers::Answer(const FrameBytes& bytes) {
  const auto frame = DecodeFrame(bytes, kNoToken);
  if (!frame || frame->kind != wire::Kind::BorrowQuota) {
    co_return FrameBytes();
  }
  PeerFrame answer;
  answer.kind = wire::Kind::Answer;
  answer.sender = m_settings.node.Text();
  const WorkspaceId name(frame->text);
  const auto* workspaces =
      m_configuration ? &m_configuration->workspaces : nullptr;
  if (workspaces != nullptr && workspaces->contains(name)) {
    const auto wait = m_pool.Lend(
        workspaces->at(name), static_cast<double>(frame->amount), BootTime());
    // Without the workspace's name the answer says that nothing is lent here.
    if (wait) {
      answer.text = frame->text;
      answer.amount = wait->count() == 0 ? frame->amount : 0;
      answer.wait_ms = static_cast<std::uint64_t>(wait->count());
    }
  }
  co_return EncodeFrame(answer);
}

Awaitable<void> QuotaPeers::Serve(std::shared_ptr<tcp::acceptor> acceptor) {
  co_await ServeFrames(
      std::move(acceptor),
      [this](const FrameBytes& bytes) { return Answer(bytes); }, m_traffic);
}

}  // namespace cowslipknot::gateway
