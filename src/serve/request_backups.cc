#include "serve/request_backups.h"

#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kMaxHolderAttempts = 3;
constexpr std::size_t kMaxHeldBackups = 4096;
constexpr std::string_view kGeneratedIdPrefix = "r-";

std::unique_ptr<Descriptor> Copy(const Descriptor& descriptor) {
  return std::make_unique<Descriptor>(descriptor);
}

PeerFrame MakeRequestFrame(wire::Kind kind, const RequestId& id) {
  PeerFrame frame;
  frame.kind = kind;
  frame.text = id.Text();
  return frame;
}

PeerFrame MakeAnswer(ResultCode code) {
  PeerFrame frame;
  frame.kind = wire::Kind::Answer;
  frame.code = static_cast<std::uint16_t>(code);
  return frame;
}

/// The instance that generated an id: the part between "r-" and the last "-".
NodeId GeneratingNode(const RequestId& id) {
  const std::string& text = id.Text();
  const std::size_t end = text.rfind('-');
  const bool generated =
      text.starts_with(kGeneratedIdPrefix) && end > kGeneratedIdPrefix.size();
  if (!generated) return NodeId();
  return NodeId(
      text.substr(kGeneratedIdPrefix.size(), end - kGeneratedIdPrefix.size()));
}

}  // namespace

std::vector<NodeId> RequestBackups::RankedHolders(const RequestId& id) const {
  std::vector<CandidateInstance> candidates;
  for (const auto& member : m_gossip.Members().Live()) {
    const bool usable = member.status == MemberStatus::kAlive;
    if (!usable) continue;
    candidates.push_back({member.info.node, member.info.draining});
  }
  auto ranked = RankInstances(id, m_settings.node, candidates);
  if (ranked.size() > kMaxHolderAttempts) ranked.resize(kMaxHolderAttempts);
  return ranked;
}

Awaitable<bool> RequestBackups::BackUp(Descriptor descriptor) {
  const RequestId id(descriptor.request);
  descriptor.owner = m_settings.node.Text();
  for (const auto& holder : RankedHolders(id)) {
    PeerFrame frame;
    frame.kind = wire::Kind::Keep;
    frame.descriptor = Copy(descriptor);
    const auto answer = co_await m_gossip.Call(holder, std::move(frame));
    if (!answer || answer->code != 0) continue;
    m_backup_holders[id] = holder;
    co_return true;
  }
  co_return false;
}

Awaitable<void> RequestBackups::DiscardBackup(RequestId id) {
  const auto backup = m_backup_holders.find(id);
  if (backup == m_backup_holders.end()) co_return;
  const NodeId holder = backup->second;
  m_backup_holders.erase(backup);
  co_await m_gossip.Call(holder, MakeRequestFrame(wire::Kind::Discard, id));
}

Awaitable<void> RequestBackups::DiscardAllBackups() {
  while (!m_backup_holders.empty()) {
    const RequestId id = m_backup_holders.begin()->first;
    co_await DiscardBackup(id);
  }
}

Awaitable<bool> RequestBackups::HandOver(Descriptor descriptor) {
  const RequestId id(descriptor.request);
  // Renew the backup, so that the holder resumes after the last token.
  const bool backed_up = co_await BackUp(std::move(descriptor));
  if (!backed_up) co_return false;
  const NodeId holder = m_backup_holders[id];
  const auto answer = co_await m_gossip.Call(
      holder, MakeRequestFrame(wire::Kind::TakeOver, id));
  if (!answer || answer->code != 0) co_return false;
  m_backup_holders.erase(id);
  LogEvent(Event::kRequestHandedOver,
           {{"request", id.Text()}, {"holder", holder.Text()}});
  co_return true;
}

Awaitable<void> RequestBackups::ForwardHeldBackups() {
  const auto held = std::move(m_held_backups);
  m_held_backups.clear();
  for (const auto& [id, entry] : held) {
    PeerFrame frame;
    frame.kind = wire::Kind::Keep;
    frame.descriptor = Copy(entry.descriptor);
    for (const auto& holder : RankedHolders(id)) {
      if (holder == entry.owner) continue;
      const auto answer = co_await m_gossip.Call(holder, std::move(frame));
      if (answer && answer->code == 0) break;
      frame = PeerFrame();
      frame.kind = wire::Kind::Keep;
      frame.descriptor = Copy(entry.descriptor);
    }
  }
}

void RequestBackups::TakeOver(const RequestId& id) {
  const auto held = m_held_backups.find(id);
  if (held == m_held_backups.end()) return;
  const Descriptor descriptor = std::move(held->second.descriptor);
  m_held_backups.erase(held);
  m_running[id] = SteadyClock::now();
  LogEvent(Event::kRequestTakenOver,
           {{"request", id.Text()},
            {"owner", descriptor.owner},
            {"delivered", std::to_string(descriptor.tokens.size())}});
  m_start_run(descriptor);
}

Awaitable<PeerFrame> RequestBackups::Handle(const PeerFrame& frame) {
  const RequestId id(frame.text);
  switch (frame.kind) {
    case wire::Kind::Keep: {
      const bool usable = frame.descriptor &&
                          m_held_backups.size() < kMaxHeldBackups &&
                          !m_gossip.Members().Self().draining;
      if (!usable) co_return MakeAnswer(ResultCode::kDraining);
      const RequestId request(frame.descriptor->request);
      m_held_backups[request] = {NodeId(frame.descriptor->owner),
                                 *frame.descriptor};
      LogEvent(Event::kRequestBackedUp, {{"request", request.Text()},
                                         {"owner", frame.descriptor->owner}});
      co_return MakeAnswer(ResultCode::kOk);
    }
    case wire::Kind::Discard:
      m_held_backups.erase(id);
      co_return MakeAnswer(ResultCode::kOk);
    case wire::Kind::TakeOver:
      if (!m_held_backups.contains(id)) {
        co_return MakeAnswer(ResultCode::kUnknownRequest);
      }
      TakeOver(id);
      co_return MakeAnswer(ResultCode::kOk);
    default:
      break;
  }
  // Lookup: positive on the instance that generated the id, and on one that
  // holds a backup of the request or has taken it over.
  const bool known = GeneratingNode(id) == m_settings.node ||
                     m_held_backups.contains(id) || m_running.contains(id);
  PeerFrame answer =
      MakeAnswer(known ? ResultCode::kOk : ResultCode::kUnknownRequest);
  answer.target_host = m_settings.callers.host;
  answer.target_port = m_settings.callers.port;
  co_return answer;
}

void RequestBackups::OnOwnerFailed(const NodeId& node) {
  std::vector<RequestId> orphaned;
  for (const auto& [id, entry] : m_held_backups) {
    if (entry.owner == node) orphaned.push_back(id);
  }
  for (const auto& id : orphaned) TakeOver(id);
}

Awaitable<bool> RequestBackups::HasBackup(RequestId id) {
  if (m_held_backups.contains(id)) co_return true;
  if (!m_gossip.Members().AnyDrainingOrUnresponsive()) co_return false;
  const auto located = co_await Locate(id);
  co_return located.has_value();
}

Awaitable<Result<Endpoint>> RequestBackups::Locate(RequestId id) {
  std::vector<NodeId> candidates;
  const NodeId generating_node = GeneratingNode(id);
  if (!generating_node.Empty() && generating_node != m_settings.node) {
    candidates.push_back(generating_node);
  }
  const auto holders = RankedHolders(id);
  candidates.insert(candidates.end(), holders.begin(), holders.end());
  for (const auto& candidate : candidates) {
    const auto answer = co_await m_gossip.Call(
        candidate, MakeRequestFrame(wire::Kind::Lookup, id));
    if (!answer || answer->code != 0) continue;
    co_return Endpoint{answer->target_host, answer->target_port};
  }
  co_return Fail(ResultCode::kUnknownRequest);
}

}  // namespace cowslipknot
