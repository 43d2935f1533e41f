#include <algorithm>

#include "coordination/move_controller.h"
#include "cowslipknot/events.h"
#include "serve/gateway_fleet_coordinator.h"
#include "serve/store_rows.h"

/// Moves of services to new versions, decided by the lease holder.
namespace cowslipknot::gateway {

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
    if (move.state.phase == MovePhase::kDone) continue;
    const MoveEvidence own = SumStages(move, m_evidence);
    if (!FindRegression(order, own).empty()) move.state.share = 0;
  }
  return moves;
}

bool FleetCoordinator::IsMoving() const {
  const auto moves = Moves();
  return std::any_of(moves.begin(), moves.end(),
                     [](const auto& item) { return IsUndecided(item.second); });
}

MoveEvidence FleetCoordinator::SumEvidence(const VersionMove& move) const {
  MoveEvidence sum;
  for (const auto* report : m_instances.Serving(TimeSinceBoot()))
    Accumulate(sum, SumStages(move, DecodeEvidence(report->evidence)));
  return sum;
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
    if (stored != m_moves.end()) next.version = stored->second.version;
    next.move.order = order;
    if (known) {
      const VersionMove& move = stored->second.move;
      const auto state =
          NextState(move, SumEvidence(move), WallTime(*now), bound);
      if (!state) continue;
      next.move.state = *state;
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
        store_rows::MakeRow(key, {}, next.version));
    transaction.writes.push_back(
        store_rows::MakeRow(key, EncodeMove(next.move)));
    transaction.writes.push_back(m_adapter.encode_move_status(next.move));
    const auto changed = co_await CommitTransaction(std::move(transaction));
    if (!changed) co_return;
    next.version = changed->version;
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
