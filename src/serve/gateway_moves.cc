#include <algorithm>

#include "coordination/move_controller.h"
#include "cowslipknot/events.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/store_rows.h"

/// Moves of services to new versions, decided by the lease holder.
namespace cowslipknot::gateway {
namespace {

std::string DescribeCounts(const RequestCounts& counts) {
  return std::to_string(counts.bad) + "/" + std::to_string(counts.total);
}

}  // namespace

void FleetCoordinator::SetOrders(std::map<ServiceId, MoveOrder> orders) {
  m_move_orders = std::move(orders);
  m_peer_evidence.clear();
  std::erase_if(m_halted, [this](const auto& item) {
    return std::none_of(
        m_move_orders.begin(), m_move_orders.end(),
        [&](auto& order) { return MoveKey(order.second) == item.first; });
  });
}

std::map<ServiceId, VersionMove> FleetCoordinator::Moves() const {
  std::map<ServiceId, VersionMove> moves;
  for (const auto& [service, order] : m_move_orders) {
    VersionMove& move = moves[service];
    move.order = order;
    const auto stored = m_moves.find(service);
    const bool known = stored != m_moves.end() &&
                       stored->second.move.order.revision == order.revision;
    if (!known) continue;  // No traffic to the new version before a decision.
    move = stored->second.move;
    const bool is_done = move.state.phase == MovePhase::kDone;
    if (!is_done && m_halted.contains(MoveKey(order))) move.state.share = 0;
  }
  return moves;
}

bool FleetCoordinator::IsMoving() const {
  const auto moves = Moves();
  return std::any_of(moves.begin(), moves.end(),
                     [](const auto& item) { return IsUndecided(item.second); });
}

void FleetCoordinator::SetOwnEvidence(EvidenceByMove evidence) {
  m_evidence = std::move(evidence);
  std::erase_if(m_evidence, [this](const auto& item) {
    return std::none_of(
        m_move_orders.begin(), m_move_orders.end(),
        [&](auto& order) { return IsEvidenceOf(order.second, item.first); });
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

bool FleetCoordinator::Halt(const MoveOrder& order, const std::string& reason) {
  if (!m_halted.emplace(MoveKey(order), reason).second) return false;
  LogEvent(Event::kMoveHalted,
           {{"move", MoveKey(order).Text()}, {"reason", reason}});
  return true;
}

bool FleetCoordinator::HaltRegressions() {
  bool halted = false;
  for (const auto& [service, stored] : m_moves) {
    const auto order = m_move_orders.find(service);
    const VersionMove& move = stored.move;
    const bool active = order != m_move_orders.end() &&
                        order->second.revision == move.order.revision &&
                        IsUndecided(move);
    if (!active) continue;
    const std::string regression =
        FindRegression(move.order, SumEvidence(move));
    if (!regression.empty()) halted = Halt(move.order, regression) || halted;
  }
  return halted;
}

PeerFrame FleetCoordinator::BuildEvidenceFrame() const {
  PeerFrame frame;
  frame.kind = wire::Kind::MoveEvidence;
  frame.sender = m_settings.node.Text();
  frame.text = EncodeEvidence(m_evidence);
  std::vector<GossipRecord> halted;
  for (const auto& [key, reason] : m_halted)
    halted.push_back({key.Text(), 0, reason});
  AddRecords(frame, halted);
  return frame;
}

bool FleetCoordinator::ApplyEvidenceFrame(const PeerFrame& frame) {
  m_peer_evidence[NodeId(frame.sender)] = DecodeEvidence(frame.text);
  bool halted = false;
  for (const auto& record : ExtractRecords(frame)) {
    for (const auto& [service, order] : m_move_orders) {
      if (MoveKey(order).Text() == record.key)
        halted = Halt(order, record.payload) || halted;
    }
  }
  return halted;
}

void FleetCoordinator::LogEvidence(const VersionMove& move,
                                   const MoveEvidence& evidence) const {
  for (const auto& [route, seen] : evidence) {
    LogEvent(Event::kMoveEvidence,
             {{"move", MoveKey(move.order).Text()},
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

Awaitable<void> FleetCoordinator::AdvanceMoves() {
  const auto now = SharedNowMs();
  if (!now) co_return;
  const auto orders = m_move_orders;
  const ExposureBound bound{m_settings.exposure_share,
                            m_settings.exposure_slack};
  for (const auto& [service, order] : orders) {
    const auto stored = m_moves.find(service);
    const bool known = stored != m_moves.end() &&
                       stored->second.move.order.revision == order.revision;
    StoredMove next;
    if (stored != m_moves.end()) next.position = stored->second.position;
    next.move.order = order;
    if (known) {
      const VersionMove& move = stored->second.move;
      const MoveEvidence evidence = SumEvidence(move);
      if (IsUndecided(move)) LogEvidence(move, evidence);
      const auto state = NextState(move, evidence, WallTime(*now), bound);
      const auto halted = m_halted.find(MoveKey(order));
      if (halted != m_halted.end() && IsUndecided(move)) {
        next.move.state = RolledBack(move.state, halted->second);
      } else if (state) {
        next.move.state = *state;
      } else {
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
             {{"move", MoveKey(order).Text()},
              {"to", order.to.Text()},
              {"phase", std::string(MovePhaseName(next.move.state.phase))},
              {"share", std::to_string(next.move.state.share)},
              {"reason", next.move.state.reason}});
    m_moves[service] = next;
  }
}

}  // namespace cowslipknot::gateway
