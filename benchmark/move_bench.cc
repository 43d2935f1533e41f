// Measures how often, how late and at what cost move decisions are right or
// wrong. Simulates the pure decision module on a virtual clock, with many seeds
// for each behaviour of the new version, and prints a Markdown table.
#include <iomanip>
#include <iostream>
#include <random>

#include "cowslipknot/coordination/move_decision.h"

namespace cowslipknot {
namespace {

constexpr int kSeeds = 50;
constexpr double kRequestsPerSecond = 20;  ///< per route, on each of two routes
constexpr std::int64_t kStepMs = 500;
constexpr double kOldErrorRate = 0.01;
constexpr double kOldSlowRate = 0.03;

/// How the new version behaves while a move shifts traffic to it.
struct VersionBehaviour {
  std::string name;
  bool good;                   ///< a move to this version should complete
  double error_rate;           ///< while the fault is present
  double slow_rate;            ///< while the fault is present
  double fault_start_s = 0;    ///< time at which the fault begins
  double fault_min_share = 0;  ///< the fault is present from this share on
  bool fault_on_one_route = false;
};

struct RunOutcome {
  MovePhase phase = MovePhase::kRunning;
  double ended_s = 0;
  std::uint64_t new_requests = 0;  ///< to the new version while it was faulty
  std::uint64_t requests = 0;
  double detected_s = -1;  ///< from the first bad response to the rollback
};

Move MakeMove() {
  Move move;
  move.name = MoveId("m");
  move.duration = Milliseconds(1800000);
  move.watch_period = Milliseconds(600000);
  move.first_share = 0.02;
  return move;
}

class Simulation {
 public:
  Simulation(const VersionBehaviour& behaviour, std::uint64_t seed)
      : m_behaviour(behaviour), m_random(seed) {}

  RunOutcome Run() {
    const Move move = MakeMove();
    m_state.share = move.first_share;
    RunOutcome outcome;
    double first_bad_s = -1;
    for (std::int64_t now = 0; now <= 3000000; now += kStepMs) {
      const double at_s = static_cast<double>(now) / 1000;
      SimulateTraffic(at_s, outcome, first_bad_s);
      const auto decision =
          DecideMove(move, m_state, m_evidence, WallTime(now));
      Apply(decision, now);
      outcome.ended_s = at_s;
      if (m_state.phase == MovePhase::kRolledBack && first_bad_s >= 0) {
        outcome.detected_s = at_s - first_bad_s;
      }
      const bool ended = m_state.phase == MovePhase::kRolledBack ||
                         m_state.phase == MovePhase::kDone;
      if (ended) break;
    }
    outcome.phase = m_state.phase;
    return outcome;
  }

 private:
  bool DrawBool(double rate) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < rate;
  }

  bool IsFaulty(double at_s, bool second_route) const {
    if (m_behaviour.fault_on_one_route && !second_route) return false;
    return at_s >= m_behaviour.fault_start_s &&
           m_state.share >= m_behaviour.fault_min_share;
  }

  void SimulateTraffic(double at_s, RunOutcome& outcome, double& first_bad_s) {
    std::poisson_distribution<int> arrivals(kRequestsPerSecond * kStepMs /
                                            1000.0);
    for (const bool second : {false, true}) {
      RouteEvidence& seen = m_evidence[RouteId(second ? "b" : "a")];
      const int count = arrivals(m_random);
      const bool faulty = IsFaulty(at_s, second);
      for (int i = 0; i < count; ++i) {
        const bool is_new = DrawBool(m_state.share);
        const double error =
            is_new && faulty ? m_behaviour.error_rate : kOldErrorRate;
        const double slow =
            is_new && faulty ? m_behaviour.slow_rate : kOldSlowRate;
        const bool failed = DrawBool(error);
        RequestCounts& errors = is_new ? seen.new_errors : seen.old_errors;
        RequestCounts& slows = is_new ? seen.new_slow : seen.old_slow;
        ++errors.total;
        errors.bad += failed ? 1 : 0;
        const bool late = !failed && DrawBool(slow);
        slows.total += failed ? 0 : 1;
        slows.bad += late ? 1 : 0;
        ++outcome.requests;
        outcome.new_requests += is_new && faulty ? 1 : 0;
        if (is_new && faulty && (failed || late) && first_bad_s < 0) {
          first_bad_s = at_s;
        }
      }
    }
  }

  void Apply(const MoveDecision& decision, std::int64_t now) {
    switch (decision.action) {
      case MoveAction::kRaise:
        m_state.share = decision.share;
        break;
      case MoveAction::kRollBack:
        m_state.phase = MovePhase::kRolledBack;
        break;
      case MoveAction::kStartWatch:
        m_state.phase = MovePhase::kWatching;
        m_state.full_since = WallTime(now);
        break;
      case MoveAction::kComplete:
        m_state.phase = MovePhase::kDone;
        break;
      case MoveAction::kHold:
        break;
    }
  }

  const VersionBehaviour& m_behaviour;
  std::mt19937_64 m_random;
  MoveState m_state;
  MoveEvidence m_evidence;
};

void Summarize(const VersionBehaviour& behaviour) {
  int done = 0;
  int rolled_back = 0;
  double bad_share = 0;
  double worst_share = 0;
  double detected = 0;
  double ended = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(behaviour, static_cast<std::uint64_t>(seed));
    const RunOutcome outcome = simulation.Run();
    done += outcome.phase == MovePhase::kDone ? 1 : 0;
    rolled_back += outcome.phase == MovePhase::kRolledBack ? 1 : 0;
    const double share = static_cast<double>(outcome.new_requests) /
                         static_cast<double>(outcome.requests);
    bad_share += share / kSeeds;
    worst_share = std::max(worst_share, share);
    detected += std::max(0.0, outcome.detected_s) / kSeeds;
    ended += outcome.ended_s / kSeeds;
  }
  std::cout << std::fixed << std::setprecision(1) << "| " << behaviour.name
            << " | " << 100.0 * done / kSeeds << " | "
            << 100.0 * rolled_back / kSeeds << " | ";
  if (behaviour.good) {
    std::cout << "- | - | - | " << ended << " |\n";
    return;
  }
  std::cout << std::setprecision(2) << 100 * bad_share << " | "
            << 100 * worst_share << " | " << std::setprecision(1) << detected
            << " | " << ended << " |\n";
}

}  // namespace
}  // namespace cowslipknot

int main() {
  using cowslipknot::VersionBehaviour;
  const std::vector<VersionBehaviour> behaviours = {
      {"good", true, 0.01, 0.03},
      {"good, a little worse (1.2% errors, 4% slow)", true, 0.012, 0.04},
      {"fails half at once", false, 0.5, 0.03},
      {"fails 10% at once", false, 0.10, 0.03},
      {"slow at once (60%)", false, 0.01, 0.6},
      {"fails half after 1,000 s", false, 0.5, 0.03, 1000},
      {"fails half above half share", false, 0.5, 0.03, 0, 0.5},
      {"fails half on one route", false, 0.5, 0.03, 0, 0, true},
  };
  std::cout
      << "| version | done % | taken back % | bad requests, mean % of all "
         "| worst % | s from first bad answer to taken back | ended s |\n"
         "|---|---|---|---|---|---|---|\n";
  for (const auto& behaviour : behaviours) cowslipknot::Summarize(behaviour);
  return 0;
}
