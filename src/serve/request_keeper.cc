#include "serve/request_keeper.h"

#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kMaxHolderTries = 3;
constexpr std::size_t kMaxHeld = 4096;
constexpr std::string_view kMintedPrefix = "r-";

std::unique_ptr<Descriptor> Copy(const Descriptor& descriptor) {
  return std::make_unique<Descriptor>(descriptor);
}

PeerFrame RequestFrame(wire::Kind kind, const RequestId& id) {
  PeerFrame frame;
  frame.kind = kind;
  frame.text = id.Text();
  return frame;
}

PeerFrame Answer(ResultCode code) {
  PeerFrame frame;
  frame.kind = wire::Kind::Answer;
  frame.code = static_cast<std::uint16_t>(code);
  return frame;
}

/// The instance that minted an id, which lies between "r-" and the last "-".
NodeId MintingNode(const RequestId& id) {
  const std::string& text = id.Text();
  const std::size_t end = text.rfind('-');
  const bool minted =
      text.starts_with(kMintedPrefix) && end > kMintedPrefix.size();
  if (!minted) return NodeId();
  return NodeId(text.substr(kMintedPrefix.size(), end - kMintedPrefix.size()));
}

}  // namespace

std::vector<NodeId> RequestKeeper::Holders(const RequestId& id) const {
  std::vector<HolderCandidate> candidates;
  for (const auto& member : m_mesh.Members().Live()) {
    const bool usable = member.status == MemberStatus::kAlive;
    if (!usable) continue;
    candidates.push_back({member.info.node, member.info.draining});
  }
  auto ranked = RankHolders(id, m_settings.node, candidates);
  if (ranked.size() > kMaxHolderTries) ranked.resize(kMaxHolderTries);
  return ranked;
}

Awaitable<bool> RequestKeeper::Keep(Descriptor descriptor) {
  const RequestId id(descriptor.request);
  descriptor.owner = m_settings.node.Text();
  for (const auto& holder : Holders(id)) {
    PeerFrame frame;
    frame.kind = wire::Kind::Keep;
    frame.descriptor = Copy(descriptor);
    const auto answer = co_await m_mesh.Call(holder, std::move(frame));
    if (!answer || answer->code != 0) continue;
    m_given[id] = holder;
    co_return true;
  }
  co_return false;
}

Awaitable<void> RequestKeeper::Discard(RequestId id) {
  const auto given = m_given.find(id);
  if (given == m_given.end()) co_return;
  const NodeId holder = given->second;
  m_given.erase(given);
  co_await m_mesh.Call(holder, RequestFrame(wire::Kind::Discard, id));
}

Awaitable<void> RequestKeeper::DiscardAll() {
  while (!m_given.empty()) {
    const RequestId id = m_given.begin()->first;
    co_await Discard(id);
  }
}

Awaitable<bool> RequestKeeper::HandOver(Descriptor descriptor) {
  const RequestId id(descriptor.request);
  // The copy is renewed, so that the holder goes on after the last token.
  const bool kept = co_await Keep(std::move(descriptor));
  if (!kept) co_return false;
  const NodeId holder = m_given[id];
  const auto answer =
      co_await m_mesh.Call(holder, RequestFrame(wire::Kind::TakeOver, id));
  if (!answer || answer->code != 0) co_return false;
  m_given.erase(id);
  LogEvent(Event::kRequestHandedOver,
           {{"request", id.Text()}, {"holder", holder.Text()}});
  co_return true;
}

Awaitable<void> RequestKeeper::PassOnHeld() {
  const auto held = std::move(m_held);
  m_held.clear();
  for (const auto& [id, entry] : held) {
    PeerFrame frame;
    frame.kind = wire::Kind::Keep;
    frame.descriptor = Copy(entry.descriptor);
    for (const auto& holder : Holders(id)) {
      if (holder == entry.owner) continue;
      const auto answer = co_await m_mesh.Call(holder, std::move(frame));
      if (answer && answer->code == 0) break;
      frame = PeerFrame();
      frame.kind = wire::Kind::Keep;
      frame.descriptor = Copy(entry.descriptor);
    }
  }
}

void RequestKeeper::TakeOver(const RequestId& id) {
  const auto held = m_held.find(id);
  if (held == m_held.end()) return;
  const Descriptor descriptor = std::move(held->second.descriptor);
  m_held.erase(held);
  m_running[id] = SteadyClock::now();
  LogEvent(Event::kRequestTakenOver,
           {{"request", id.Text()},
            {"owner", descriptor.owner},
            {"delivered", std::to_string(descriptor.tokens.size())}});
  m_start_run(descriptor);
}

Awaitable<PeerFrame> RequestKeeper::Handle(const PeerFrame& frame) {
  const RequestId id(frame.text);
  switch (frame.kind) {
    case wire::Kind::Keep: {
      const bool usable = frame.descriptor && m_held.size() < kMaxHeld &&
                          !m_mesh.Members().Self().draining;
      if (!usable) co_return Answer(ResultCode::kDraining);
      const RequestId request(frame.descriptor->request);
      m_held[request] = {NodeId(frame.descriptor->owner), *frame.descriptor};
      LogEvent(Event::kRequestKept, {{"request", request.Text()},
                                     {"owner", frame.descriptor->owner}});
      co_return Answer(ResultCode::kOk);
    }
    case wire::Kind::Discard:
      m_held.erase(id);
      co_return Answer(ResultCode::kOk);
    case wire::Kind::TakeOver:
      if (!m_held.contains(id)) co_return Answer(ResultCode::kUnknownRequest);
      TakeOver(id);
      co_return Answer(ResultCode::kOk);
    default:
      break;
  }
  // Lookup: the minting instance, or one that holds or runs the request.
  const bool known = MintingNode(id) == m_settings.node ||
                     m_held.contains(id) || m_running.contains(id);
  PeerFrame answer =
      Answer(known ? ResultCode::kOk : ResultCode::kUnknownRequest);
  answer.target_host = m_settings.callers.host;
  answer.target_port = m_settings.callers.port;
  co_return answer;
}

void RequestKeeper::OwnerDied(const NodeId& node) {
  std::vector<RequestId> orphans;
  for (const auto& [id, entry] : m_held) {
    if (entry.owner == node) orphans.push_back(id);
  }
  for (const auto& id : orphans) TakeOver(id);
}

Awaitable<bool> RequestKeeper::FindKept(RequestId id) {
  if (m_held.contains(id)) co_return true;
  if (!m_mesh.Members().AnyUnsettled()) co_return false;
  const auto located = co_await Locate(id);
  co_return located.has_value();
}

Awaitable<Result<Endpoint>> RequestKeeper::Locate(RequestId id) {
  std::vector<NodeId> candidates;
  const NodeId minted = MintingNode(id);
  if (!minted.Empty() && minted != m_settings.node) {
    candidates.push_back(minted);
  }
  const auto holders = Holders(id);
  candidates.insert(candidates.end(), holders.begin(), holders.end());
  for (const auto& candidate : candidates) {
    const auto answer =
        co_await m_mesh.Call(candidate, RequestFrame(wire::Kind::Lookup, id));
    if (!answer || answer->code != 0) continue;
    co_return Endpoint{answer->target_host, answer->target_port};
  }
  co_return Fail(ResultCode::kUnknownRequest);
}

}  // namespace cowslipknot
