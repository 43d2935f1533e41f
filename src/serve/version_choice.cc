#include "coordination/move_controller.h"
#include "serve/model_run.h"

namespace cowslipknot {
namespace {

/// Follows completed moves, starting at the version that the service is
/// configured with.
VersionId FollowFinishedMoves(const Configuration& configuration,
                              VersionId version) {
  for (std::size_t step = 0; step < configuration.moves.size(); ++step) {
    bool moved = false;
    for (const auto& [name, state] : configuration.moves) {
      const auto move = configuration.objects.moves.find(name);
      if (move == configuration.objects.moves.end()) continue;
      if (state.phase != MovePhase::kDone) continue;
      if (move->second.from != version) continue;
      version = move->second.to;
      moved = true;
      break;
    }
    if (!moved) break;
  }
  return version;
}

}  // namespace

VersionChoice ChooseVersion(const FleetSnapshot& snapshot,
                            const ServiceId& service,
                            std::uint64_t request_hash) {
  const Configuration& configuration = *snapshot.configuration;
  VersionChoice choice;
  choice.version = FollowFinishedMoves(
      configuration, configuration.objects.services.at(service).version);
  for (const auto& [name, state] : configuration.moves) {
    const bool active = state.phase == MovePhase::kRunning ||
                        state.phase == MovePhase::kWatching;
    if (!active) continue;
    const auto move = configuration.objects.moves.find(name);
    if (move == configuration.objects.moves.end()) continue;
    if (move->second.service != service) continue;
    if (move->second.from != choice.version) continue;
    choice.evidence_key = EvidenceKey(name, state.started);
    if (snapshot.rolled_back.contains(choice.evidence_key)) return choice;
    choice.is_new = IsInShare(request_hash, state.share);
    if (choice.is_new) choice.version = move->second.to;
    return choice;
  }
  return choice;
}

void RecordMoveEvidence(std::map<MoveId, MoveEvidence>& evidence,
                        const VersionChoice& choice, const RouteId& route,
                        bool failed, bool slow) {
  if (choice.evidence_key.Empty()) return;
  RouteEvidence& seen = evidence[choice.evidence_key][route];
  RequestCounts& errors = choice.is_new ? seen.new_errors : seen.old_errors;
  RequestCounts& slow_calls = choice.is_new ? seen.new_slow : seen.old_slow;
  ++errors.total;
  if (failed) ++errors.bad;
  if (failed) return;
  ++slow_calls.total;
  if (slow) ++slow_calls.bad;
}

}  // namespace cowslipknot
