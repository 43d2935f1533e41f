#include <algorithm>

#include "coordination/move_controller.h"
#include "cowslipknot/events.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/store_rows.h"

/// Moves of services to new versions, decided by the lease holder.
namespace cowslipknot::gateway {
namespace {

/// Versions of the records in a frame of evidence.
constexpr std::uint64_t kHaltRecord = 0;
constexpr std::uint64_t kMoveRecord = 1;

RunningVersions FindRunningVersions(const MoveOrder& order,
                                    const std::vector<ServerEntry>& servers) {
  RunningVersions running;
  for (const auto& server : servers) {
    if (server.service != order.service) continue;
    (server.version == order.to ? running.has_new : running.has_old) = true;
  }
  return running;
}

std::string DescribeCounts(const RequestCounts& counts) {
  return std::to_string(counts.bad) + "/" + std::to_string(counts.total);
}

}  // namespace

void FleetCoordinator::SetOrders(std::map<ServiceId, MoveOrder> orders) {
  m_move_orders = std::move(orders);
  m_peer_evidence.clear();
  std::set<MoveId> active;
  for (const auto& [service, move] : Moves()) active.insert(MoveKey(move));
  std::erase_if(m_halted, [&active](const auto& item) {
    return !active.contains(item.first);
  });
  std::erase_if(
      m_held, [&active](const MoveId& move) { return !active.contains(move); });
}

void FleetCoordinator::ApplyMoveRows(const std::vector<StoreRow>& rows) {
  std::map<ServiceId, StoredMove> known_moves = std::exchange(m_moves, {});
  for (const auto& row : rows) {
    auto move = DecodeMove(row.value);
    if (!move) continue;
    const ServiceId service = move->order.service;
    m_moves[service] = {std::move(*move), row.position};
  }
  // Rows are replaced but never removed, so a missing one was lost.
  for (auto& [service, known] : known_moves) {
    const auto stored = m_moves.find(service);
    if (stored == m_moves.end()) {
      known.position = {};
      known.is_stored = false;
      m_moves[service] = std::move(known);
      continue;
    }
    StoredMove& move = stored->second;
    const bool is_restored =
        known.position.IsKnown() && move.position.era > known.position.era;
    if (is_restored && !IsSameOrder(known.move.order, move.move.order))
      known.lost = known.move;
    for (const auto* further :
         {&known.move, known.lost ? &*known.lost : nullptr}) {
      if (further == nullptr || !IsFurther(*further, move.move)) continue;
      move.move = *further;
      move.is_stored = false;
    }
    move.lost = std::move(known.lost);
  }
}

std::vector<GossipRecord> FleetCoordinator::ExportMoves() const {
  std::vector<GossipRecord> records;
  for (const auto& [service, stored] : m_moves) {
    const bool is_active = m_move_orders.contains(service);
    records.push_back(
        {service.Text(), is_active ? 1U : 0U, EncodeMove(stored.move)});
  }
  return records;
}

bool FleetCoordinator::ImportMoves(const std::vector<GossipRecord>& records) {
  bool changed = false;
  for (const auto& record : records) {
    auto move = DecodeMove(record.payload);
    if (!move) continue;
    const auto [known, is_new] = m_moves.try_emplace(move->order.service);
    if (!is_new && !IsFurther(*move, known->second.move)) continue;
    known->second.move = std::move(*move);
    known->second.is_stored = false;
    changed = true;
  }
  return changed;
}

const VersionMove* FleetCoordinator::FindMove(const MoveOrder& order) const {
  const auto known = m_moves.find(order.service);
  if (known == m_moves.end()) return nullptr;
  const StoredMove& move = known->second;
  if (IsSameOrder(move.move.order, order)) return &move.move;
  const bool is_lost = move.lost && IsSameOrder(move.lost->order, order);
  return is_lost ? &*move.lost : nullptr;
}

std::map<ServiceId, VersionMove> FleetCoordinator::Moves() const {
  std::map<ServiceId, VersionMove> moves;
  for (const auto& [service, order] : m_move_orders) {
    VersionMove& move = moves[service];
    move = MoveOf(order);
    const VersionMove* known = FindMove(order);
    // No traffic to the new version before a decision.
    if (known == nullptr) continue;
    move = *known;
    const bool is_done = move.state.phase == MovePhase::kDone;
    if (!is_done && m_halted.contains(MoveKey(move))) move.state.share = 0;
  }
  return moves;
}

bool FleetCoordinator::IsLost(const StoredMove& stored) const {
  return !stored.is_stored && m_move_orders.contains(stored.move.order.service);
}

bool FleetCoordinator::HasLostMoves() const {
  return std::any_of(m_moves.begin(), m_moves.end(),
                     [this](const auto& item) { return IsLost(item.second); });
}

bool FleetCoordinator::IsMoving() const {
  const auto moves = Moves();
  return std::any_of(moves.begin(), moves.end(),
                     [](const auto& item) { return IsUndecided(item.second); });
}

void FleetCoordinator::SetOwnEvidence(EvidenceByMove evidence) {
  m_evidence = std::move(evidence);
  const auto moves = Moves();
  std::erase_if(m_evidence, [&moves](const auto& item) {
    return std::none_of(moves.begin(), moves.end(), [&](auto& move) {
      return IsEvidenceOf(move.second, item.first);
    });
  });
}

MoveEvidence FleetCoordinator::SumEvidence(const VersionMove& move) const {
  MoveEvidence sum = SumStages(move, m_evidence);
  for (const auto& [node, evidence] : m_peer_evidence)
    Accumulate(sum, SumStages(move, evidence));
  for (const auto* report : m_instances.Serving(TimeSinceBoot())) {
    const bool is_known = report->node == m_settings.node ||
                          m_peer_evidence.contains(report->node);
    if (is_known) continue;
    Accumulate(sum, SumStages(move, DecodeEvidence(report->evidence)));
  }
  return sum;
}

bool FleetCoordinator::Halt(const VersionMove& move,
                            const std::string& reason) {
  if (!m_halted.emplace(MoveKey(move), reason).second) return false;
  LogEvent(Event::kMoveHalted,
           {{"move", MoveKey(move).Text()}, {"reason", reason}});
  return true;
}

bool FleetCoordinator::HaltRegressions() {
  bool halted = false;
  for (const auto& [service, order] : m_move_orders) {
    const VersionMove* move = FindMove(order);
    if (move == nullptr || !IsUndecided(*move)) continue;
    const std::string regression =
        FindRegression(move->order, SumEvidence(*move));
    if (!regression.empty()) halted = Halt(*move, regression) || halted;
  }
  return halted;
}

PeerFrame FleetCoordinator::BuildEvidenceFrame() const {
  PeerFrame frame;
  frame.kind = wire::Kind::MoveEvidence;
  frame.sender = m_settings.node.Text();
  frame.text = EncodeEvidence(m_evidence);
  std::vector<GossipRecord> records;
  for (const auto& [key, reason] : m_halted)
    records.push_back({key.Text(), kHaltRecord, reason});
  for (const auto& [service, stored] : m_moves) {
    if (IsLost(stored))
      records.push_back({service.Text(), kMoveRecord, EncodeMove(stored.move)});
  }
  AddRecords(frame, records);
  return frame;
}

bool FleetCoordinator::ApplyEvidenceFrame(const PeerFrame& frame) {
  m_peer_evidence[NodeId(frame.sender)] = DecodeEvidence(frame.text);
  std::vector<GossipRecord> lost;
  std::vector<GossipRecord> halted;
  for (auto& record : ExtractRecords(frame))
    (record.version == kHaltRecord ? halted : lost).push_back(record);
  bool changed = ImportMoves(lost);
  const auto moves = Moves();
  for (const auto& record : halted) {
    for (const auto& [service, move] : moves) {
      if (MoveKey(move).Text() == record.key)
        changed = Halt(move, record.payload) || changed;
    }
  }
  return changed;
}

void FleetCoordinator::LogEvidence(const VersionMove& move,
                                   const MoveEvidence& evidence) const {
  for (const auto& [route, seen] : evidence) {
    LogEvent(Event::kMoveEvidence,
             {{"move", MoveKey(move).Text()},
              {"route", route.Text()},
              {"share", std::to_string(move.state.share)},
              {"old_sent", std::to_string(seen.old_sent)},
              {"new_sent", std::to_string(seen.new_sent)},
              {"old_failed", DescribeCounts(seen.old_errors)},
              {"new_failed", DescribeCounts(seen.new_errors)},
              {"old_slow", DescribeCounts(seen.old_slow)},
              {"new_slow", DescribeCounts(seen.new_slow)}});
  }
}

void FleetCoordinator::LogHeldDecision(const VersionMove& move,
                                       const MoveState& decision,
                                       const std::string& detail) {
  if (!m_held.insert(MoveKey(move)).second) return;
  LogEvent(Event::kMoveDecisionHeld,
           {{"move", MoveKey(move).Text()},
            {"phase", std::string(MovePhaseName(decision.phase))},
            {"reason", decision.reason},
            {"detail", detail}});
}

std::optional<MoveState> FleetCoordinator::DecideNextState(
    const VersionMove& move, const MoveOrder& order, WallTime now,
    const RunningVersions& running) {
  if (!IsUndecided(move)) return std::nullopt;
  const MoveEvidence evidence = SumEvidence(move);
  LogEvidence(move, evidence);
  const ExposureBound bound{m_settings.exposure_share,
                            m_settings.exposure_slack};
  const auto halted = m_halted.find(MoveKey(move));
  auto next = halted == m_halted.end() ? NextState(move, evidence, now, bound)
                                       : RolledBack(move.state, halted->second);
  if (!next || !IsFinished(next->phase)) return next;
  if (order.revision.era < m_era) {
    LogHeldDecision(move, *next, "the restored store may lack the order");
    return std::nullopt;
  }
  auto checked = CheckServers(move, *next, evidence, running);
  if (!checked) LogHeldDecision(move, *next, "no server would be left");
  return checked;
}

Awaitable<void> FleetCoordinator::AdvanceMoves(
    std::vector<ServerEntry> servers) {
  const auto now = SharedNowMs();
  if (!now) co_return;
  const auto orders = m_move_orders;
  for (const auto& [service, order] : orders) {
    const auto stored = m_moves.find(service);
    StoredMove next;
    if (stored != m_moves.end()) next.position = stored->second.position;
    next.move = MoveOf(order);
    if (const VersionMove* known = FindMove(order)) {
      const VersionMove move = *known;
      next.move.origin = move.origin;
      next.move.state = move.state;
      const auto state = DecideNextState(move, order, WallTime(*now),
                                         FindRunningVersions(order, servers));
      // Written anew also for another era, whose store may lack the status.
      const bool is_written = known == &stored->second.move &&
                              stored->second.is_stored &&
                              move.order.revision == order.revision;
      if (state) {
        next.move.state = *state;
      } else if (is_written) {
        continue;
      }
    } else {
      const bool has_seen_time = order.first_seen.Count() > 0;
      next.move.state =
          InitialState(m_settings.exposure_share,
                       has_seen_time ? order.first_seen : WallTime(*now));
    }
    if (!HoldsLease()) co_return;
    const std::string key =
        std::string(store_rows::kMovePrefix) + service.Text();
    StoreTransaction transaction;
    transaction.conditions.push_back(
        store_rows::MakeRow(key, {}, next.position));
    transaction.writes.push_back(
        store_rows::MakeRow(key, EncodeMove(next.move)));
    transaction.writes.push_back(m_adapter.encode_move_status(next.move));
    const auto changed = co_await CommitTransaction(std::move(transaction));
    if (!changed) co_return;
    next.position = changed->position;
    LogEvent(Event::kMoveStep,
             {{"move", MoveKey(next.move).Text()},
              {"to", order.to.Text()},
              {"phase", std::string(MovePhaseName(next.move.state.phase))},
              {"share", std::to_string(next.move.state.share)},
              {"reason", next.move.state.reason}});
    m_moves[service] = next;
  }
}

}  // namespace cowslipknot::gateway
