#include "coordination/gossip_node.h"

#include <cmath>

#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

/// Maximum size of the record updates in one frame.
constexpr std::size_t kMaxUpdateBytes = 1200;
/// Each update is sent this many times for each doubling of the member count.
constexpr double kSendsPerDoubling = 3;
constexpr std::size_t kMaxIndirectProbes = 2;
/// Minimum time between two exchanges of the full state, except for an exchange
/// with a seed that is not a known member yet.
constexpr Milliseconds kExchangeInterval(5000);
constexpr Milliseconds kExchangeTimeout(2000);
constexpr double kIntervalJitterFraction = 0.2;

MembershipOptions BuildOptions(const Settings& settings) {
  MembershipOptions options;
  options.suspicion_timeout = settings.suspicion_timeout;
  options.seeds = settings.seeds;
  return options;
}

MemberInfo BuildSelf(const Settings& settings) {
  MemberInfo self;
  self.node = settings.node;
  self.peer_address = settings.peers_advertised;
  self.operator_address = settings.operators;
  self.domain = settings.domain;
  return self;
}

}  // namespace

GossipNode::GossipNode(const Settings& settings,
                       const asio::any_io_executor& executor, Hooks hooks)
    : m_settings(settings),
      m_executor(executor),
      m_hooks(std::move(hooks)),
      m_membership(BuildOptions(settings), BuildSelf(settings),
                   Incarnation(static_cast<std::uint64_t>(NowWall().Count())),
                   m_records),
      m_client(executor, settings.peers.host),
      m_random(settings.seed),
      m_probe_timer(executor) {}

UnitDraw GossipNode::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void GossipNode::Publish(const GossipRecord& record) {
  if (m_records.Merge(record)) ProbeNow();
}

PeerFrame GossipNode::BuildGossipFrame(wire::Kind kind) {
  const double members = static_cast<double>(m_membership.LiveCount());
  const auto sends = static_cast<std::uint32_t>(
      std::ceil(kSendsPerDoubling * std::log2(members + 1)));
  PeerFrame frame;
  frame.kind = kind;
  AddRecords(frame, m_records.TakeUpdates(kMaxUpdateBytes, sends));
  frame.digest = m_records.Digest();
  return frame;
}

void GossipNode::OnMemberFailed(const NodeId& node) {
  LogEvent(Event::kMemberFailed, {{"member", node.Text()}});
  m_hooks.on_failed(node);
}

void GossipNode::MergeRecords(const PeerFrame& frame) {
  const WallTime now = NowWall();
  for (const auto& record : ExtractRecords(frame)) {
    const auto member = DecodeMember(record);
    bool is_update = false;
    if (member) {
      const auto before = m_membership.Find(member->info.node);
      is_update = m_membership.Merge(record, now);
      if (is_update && !before) {
        LogEvent(Event::kMemberJoined, {{"member", member->info.node.Text()}});
      }
      if (is_update && member->status == MemberStatus::kFailed) {
        OnMemberFailed(member->info.node);
      }
    } else if (m_hooks.accepts_record(record)) {
      is_update = m_records.Merge(record);
    }
    if (is_update) m_hooks.on_record(record, NodeId(frame.sender));
  }
}

Awaitable<Result<PeerFrame>> GossipNode::CallAddress(const Endpoint& peer,
                                                     PeerFrame frame,
                                                     Milliseconds timeout) {
  frame.token = m_settings.peer_token;
  frame.sender = m_settings.node.Text();
  auto answer = co_await m_client.Call(peer, EncodeFrame(frame), timeout);
  if (!answer) co_return tl::make_unexpected(answer.error());
  co_return DecodeFrame(*answer, m_settings.peer_token);
}

Awaitable<Result<PeerFrame>> GossipNode::Call(const NodeId& node,
                                              PeerFrame frame) {
  const auto member = m_membership.Find(node);
  if (!member) co_return Fail(ResultCode::kPeerUnreachable, node.Text());
  co_return co_await CallAddress(member->info.peer_address, std::move(frame),
                                 kExchangeTimeout);
}

Awaitable<void> GossipNode::ExchangeState(Endpoint peer) {
  m_last_exchange = SteadyClock::now();
  PeerFrame frame;
  frame.kind = wire::Kind::Exchange;
  AddRecords(frame, m_records.All());
  auto answer = co_await CallAddress(peer, std::move(frame), kExchangeTimeout);
  if (answer) MergeRecords(*answer);
}

Awaitable<void> GossipNode::Probe(ProbeTarget target) {
  auto answer =
      co_await CallAddress(target.address, BuildGossipFrame(wire::Kind::Probe),
                           m_settings.probe_timeout);
  if (answer) {
    MergeRecords(*answer);
    const bool states_differ = answer->digest != m_records.Digest();
    const bool updates_sent = !m_records.HasUpdates();
    const bool interval_passed =
        ElapsedSince(m_last_exchange) >= kExchangeInterval;
    const bool unknown_seed = target.node.Empty();
    if (states_differ && (unknown_seed || (updates_sent && interval_passed))) {
      co_await ExchangeState(target.address);
    }
    co_return;
  }
  if (target.node.Empty()) co_return;
  const auto member = m_membership.Find(target.node);
  if (!member || member->status == MemberStatus::kFailed) co_return;
  const auto probers =
      m_membership.IndirectProbers(target.node, kMaxIndirectProbes, Draw());
  for (const auto& prober : probers) {
    PeerFrame frame;
    frame.kind = wire::Kind::ProbeFor;
    frame.target_host = target.address.host;
    frame.target_port = target.address.port;
    const auto reply = co_await CallAddress(prober.address, std::move(frame),
                                            2 * m_settings.probe_timeout);
    if (reply && reply->code == 0) co_return;
  }
  m_membership.OnProbeFailed(target.node, NowWall());
  LogEvent(Event::kMemberSuspected, {{"member", target.node.Text()}});
}

Awaitable<PeerFrame> GossipNode::Handle(const PeerFrame& frame) {
  MergeRecords(frame);
  if (frame.kind == wire::Kind::ProbeFor) {
    PeerFrame relayed;
    relayed.kind = wire::Kind::Probe;
    // GCC 12 destroys an aggregate twice if it is constructed inside a co_await
    // expression.
    const Endpoint target{frame.target_host, frame.target_port};
    const auto reply = co_await CallAddress(target, std::move(relayed),
                                            m_settings.probe_timeout);
    PeerFrame answer = BuildGossipFrame(wire::Kind::Answer);
    if (!reply) {
      answer.code = static_cast<std::uint16_t>(reply.error().code);
    }
    co_return answer;
  }
  PeerFrame answer = BuildGossipFrame(wire::Kind::Answer);
  if (frame.kind == wire::Kind::Exchange) {
    answer.records.clear();
    AddRecords(answer, m_records.All());
  }
  co_return answer;
}

Awaitable<void> GossipNode::Run() {
  while (true) {
    const double jitter = 1 + kIntervalJitterFraction * (2 * Draw() - 1);
    const auto interval = std::chrono::duration_cast<Milliseconds>(
        m_settings.probe_interval * jitter);
    m_probe_timer.expires_after(interval);
    co_await m_probe_timer.async_wait(kAsTuple);
    for (const auto& node : m_membership.ExpireMembers(NowWall()))
      OnMemberFailed(node);
    const auto target = m_membership.NextProbe(Draw());
    if (target) Spawn(m_executor, "probe", Probe(*target));
  }
}

}  // namespace cowslipknot
