#include "coordination/move_controller.h"

#include <algorithm>

#include "cowslipknot/coordination/rendezvous.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr const char* kLeaseKey = "lease/moves";
constexpr const char* kHolderKey = "holder/moves";
constexpr std::string_view kRollbackPrefix = "taken_back/";
constexpr std::size_t kMaxLeaseCandidates = 2;
constexpr Milliseconds kLeaseWriteTimeout(1500);
/// Maximum number of evidence reports per second that all instances together
/// send to the lease holder.
constexpr std::size_t kMaxReportsPerSecond = 30;

std::uint64_t CountBadRequests(const EvidenceByMove& evidence) {
  std::uint64_t bad = 0;
  for (const auto& [key, routes] : evidence) {
    for (const auto& [route, seen] : routes) {
      bad += seen.new_errors.bad + seen.new_slow.bad;
    }
  }
  return bad;
}

bool IsActive(const MoveState& state) {
  return state.phase == MovePhase::kRunning ||
         state.phase == MovePhase::kWatching;
}

/// The position of a row of the table service, which is never restored.
StorePosition PositionOf(const TableRow& row) {
  return {StoreEra(0), StoreVersion(row.version)};
}

}  // namespace

std::set<MoveId> MoveController::RolledBackMoves() const {
  std::set<MoveId> keys;
  if (IsDisabled(m_settings, "take_back")) return keys;
  for (const auto& record : m_gossip.Records().WithPrefix(kRollbackPrefix)) {
    keys.insert(MoveId(record.key.substr(kRollbackPrefix.size())));
  }
  return keys;
}

void MoveController::PublishRollback(const MoveId& key,
                                     const std::string& reason) {
  if (RolledBackMoves().contains(key) || IsDisabled(m_settings, "take_back"))
    return;
  LogEvent(Event::kMoveRolledBack, {{"move", key.Text()}, {"reason", reason}});
  GossipRecord rollback{std::string(kRollbackPrefix) + key.Text(), 1, reason};
  m_gossip.Publish(rollback);
}

bool MoveController::AnyActive() const {
  const auto& current = m_configuration_manager.Current();
  if (!current) return false;
  return std::any_of(current->moves.begin(), current->moves.end(),
                     [](const auto& entry) { return IsActive(entry.second); });
}

NodeId MoveController::LeaseHolder() const {
  const GossipRecord* record = m_gossip.Records().Find(kHolderKey);
  return record == nullptr ? NodeId() : NodeId(record->payload);
}

Awaitable<void> MoveController::RecordLocalEvidence(EvidenceByMove evidence) {
  if (!AnyActive()) co_return;
  const auto current = m_configuration_manager.Current();
  const std::uint64_t bad_before = CountBadRequests(m_local_evidence);
  m_local_evidence = std::move(evidence);
  for (const auto& [name, state] : current->moves) {
    const auto move = current->objects.moves.find(name);
    if (!IsActive(state) || move == current->objects.moves.end()) continue;
    const MoveId key = EvidenceKey(name, state.started);
    const auto seen = m_local_evidence.find(key);
    if (seen == m_local_evidence.end()) continue;
    const std::string reason = FindRegressedRoute(move->second, seen->second);
    if (!reason.empty()) PublishRollback(key, reason);
  }
  m_evidence_by_node[m_settings.node] = m_local_evidence;
  const NodeId holder = LeaseHolder();
  if (holder.Empty() || holder == m_settings.node) co_return;
  std::string report = EncodeEvidence(m_local_evidence);
  if (report == m_last_report && holder == m_last_report_target) co_return;
  const std::size_t members = m_gossip.Members().LiveCount();
  const Milliseconds period(1000 * members / kMaxReportsPerSecond);
  const bool worse = CountBadRequests(m_local_evidence) > bad_before;
  if (!worse && ElapsedSince(m_last_report_at) < period) co_return;
  m_last_report_at = SteadyClock::now();
  PeerFrame frame;
  frame.kind = wire::Kind::Evidence;
  frame.text = report;
  const auto answer = co_await m_gossip.Call(holder, std::move(frame));
  if (!answer) co_return;
  m_last_report = std::move(report);
  m_last_report_target = holder;
}

PeerFrame MoveController::Handle(const PeerFrame& frame) {
  m_evidence_by_node[NodeId(frame.sender)] = DecodeEvidence(frame.text);
  PeerFrame answer;
  answer.kind = wire::Kind::Answer;
  return answer;
}

MoveEvidence MoveController::EvidenceOf(const MoveId& key) const {
  MoveEvidence sum;
  for (const auto& [node, evidence] : m_evidence_by_node) {
    const auto seen = evidence.find(key);
    if (seen != evidence.end()) Accumulate(sum, seen->second);
  }
  return sum;
}

bool MoveController::IsCandidate() const {
  std::vector<CandidateInstance> members;
  for (const auto& member : m_gossip.Members().Live()) {
    members.push_back({member.info.node, member.info.draining});
  }
  const auto ranked = RankInstances(RequestId(kLeaseKey), NodeId(), members);
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(
                                        kMaxLeaseCandidates, ranked.size()));
  return std::find(ranked.begin(), end, m_settings.node) != end;
}

Awaitable<void> MoveController::MaintainLease() {
  const auto now = SteadyClock::now();
  const bool held = m_lease.MayAct(now);
  if (!held && !IsCandidate()) co_return;
  if (!held) {
    const auto row = co_await m_platform.Read(kLeaseKey);
    if (!row) co_return;
    m_lease.Observe(row->version == 0 ? std::nullopt : DecodeLease(row->value),
                    PositionOf(*row), SteadyClock::now());
    if (!m_lease.MayAcquire(SteadyClock::now())) co_return;
  } else if (!m_lease.ShouldRenew(now)) {
    co_return;
  }
  const LeaseRow next = m_lease.NextRow();
  const auto sent = SteadyClock::now();
  RowChange change{kLeaseKey, m_lease.Position().version.Count(),
                   EncodeLease(next)};
  const auto written =
      co_await m_rows.Write(std::move(change), sent + kLeaseWriteTimeout);
  if (!written || !written->applied) {
    if (held) LogEvent(Event::kLeaseLost);
    co_return;
  }
  m_lease.RecordOwnWrite(next, PositionOf(written->current), sent);
  if (held) co_return;
  const std::uint64_t epoch = m_lease.CurrentEpoch().Count();
  LogEvent(Event::kLeaseTaken, {{"epoch", std::to_string(epoch)}});
  m_gossip.Publish({kHolderKey, epoch, m_settings.node.Text()});
}

Awaitable<void> MoveController::Step() {
  if (!AnyActive()) co_return;
  co_await MaintainLease();
  if (HoldsLease()) co_await DecideMoves();
}

Awaitable<void> MoveController::DecideMoves() {
  const auto current = m_configuration_manager.Current();
  for (const auto& [name, state] : current->moves) {
    const auto move = current->objects.moves.find(name);
    if (!IsActive(state) || move == current->objects.moves.end()) continue;
    const MoveId key = EvidenceKey(name, state.started);
    const GossipRecord* rollback =
        m_gossip.Records().Find(std::string(kRollbackPrefix) + key.Text());
    MoveDecision decision =
        DecideMove(move->second, state, EvidenceOf(key), NowWall());
    if (rollback != nullptr) {
      decision = {MoveAction::kRollBack, 0, rollback->payload};
    }
    const bool ignored = decision.action == MoveAction::kRollBack &&
                         IsDisabled(m_settings, "take_back");
    if (decision.action == MoveAction::kHold || ignored) continue;
    MoveState next = state;
    next.reason = decision.reason;
    switch (decision.action) {
      case MoveAction::kRaise:
        next.share = decision.share;
        break;
      case MoveAction::kRollBack:
        next.phase = MovePhase::kRolledBack;
        next.share = 0;
        PublishRollback(key, decision.reason);
        break;
      case MoveAction::kStartWatch:
        next.phase = MovePhase::kWatching;
        next.full_since = NowWall();
        break;
      default:
        next.phase = MovePhase::kDone;
        break;
    }
    // The lease may have expired in the meantime.
    if (!HoldsLease()) co_return;
    const auto published = co_await PublishState(name, next);
    if (!published) co_return;
    LogEvent(Event::kMoveStep,
             {{"move", name.Text()},
              {"phase", std::string(MovePhaseName(next.phase))},
              {"share", std::to_string(next.share)},
              {"reason", next.reason}});
  }
}

Awaitable<Result<Revision>> MoveController::PublishState(MoveId move,
                                                         MoveState state) {
  Configuration next = *m_configuration_manager.Current();
  const Revision base = next.revision;
  next.moves[move] = std::move(state);
  co_return co_await m_configuration_manager.Publish(base, std::move(next));
}

Awaitable<Result<Revision>> MoveController::Start(MoveId move) {
  const auto current = m_configuration_manager.Current();
  if (!current) co_return Fail(ResultCode::kNoConfiguration);
  const auto found = current->objects.moves.find(move);
  if (found == current->objects.moves.end()) {
    co_return Fail(ResultCode::kUnknownObject, "move " + move.Text());
  }
  for (const auto& [name, state] : current->moves) {
    const auto other = current->objects.moves.find(name);
    if (!IsActive(state) || other == current->objects.moves.end()) continue;
    if (other->second.service == found->second.service) {
      co_return Fail(ResultCode::kRevisionConflict,
                     "move " + name.Text() + " of the same service is running");
    }
  }
  MoveState state;
  state.share = found->second.first_share;
  state.started = NowWall();
  state.reason = "started";
  co_return co_await PublishState(std::move(move), std::move(state));
}

Awaitable<Result<Revision>> MoveController::RollBack(MoveId move,
                                                     std::string reason) {
  const auto current = m_configuration_manager.Current();
  if (!current) co_return Fail(ResultCode::kNoConfiguration);
  const auto found = current->moves.find(move);
  if (found == current->moves.end()) {
    co_return Fail(ResultCode::kUnknownObject, "move " + move.Text());
  }
  if (!IsActive(found->second)) {
    co_return Fail(ResultCode::kMoveDecided,
                   std::string(MovePhaseName(found->second.phase)));
  }
  MoveState state = found->second;
  PublishRollback(EvidenceKey(move, state.started), reason);
  state.phase = MovePhase::kRolledBack;
  state.share = 0;
  state.reason = std::move(reason);
  co_return co_await PublishState(std::move(move), std::move(state));
}

}  // namespace cowslipknot
