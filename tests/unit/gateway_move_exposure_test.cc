#include <random>

#include "cowslipknot/gateway/version_evidence.h"
#include "cowslipknot/gateway/version_move.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr std::int64_t kStartMs = 1000000;
constexpr std::int64_t kWarmupMs = 5000;
constexpr std::int64_t kTickMs = 20;
constexpr std::int64_t kDecisionMs = 1000;  ///< between reports to the store
constexpr std::int64_t kEvidenceMs = 200;   ///< between frames to the others
constexpr std::size_t kInstances = 3;
constexpr std::uint64_t kEvents = 40;

/// Traffic during a move, and when the new version is several times slower.
struct Traffic {
  std::int64_t duration_ms = 15000;
  int requests_per_second = 60;
  double slow_share = 0;       ///< of the new version's responses
  std::int64_t slow_from = 0;  ///< after the order
  double slow_at_share = 0;    ///< only while its share is at least this
};

struct Stream {
  std::size_t instance = 0;
  std::uint64_t attempt = 0;
  std::int64_t sent_ms = 0;
  double first_ms = 0;
  double gap_ms = 0;
};

/// Streams from servers to several instances, which collect and exchange
/// evidence while one of them decides the move.
class FleetSimulation {
 public:
  FleetSimulation(const Traffic& traffic, std::uint32_t seed)
      : m_traffic(traffic), m_random(seed) {
    m_move.order = {ServiceId("s"),
                    VersionId("v2"),
                    Milliseconds(traffic.duration_ms),
                    {StoreEra(1), StoreVersion(7)}};
  }

  void Run() {
    for (std::int64_t ms = -kWarmupMs; ms < m_traffic.duration_ms;
         ms += kTickMs) {
      if (ms == 0) m_move.state = InitialState(m_bound.share, Wall(0));
      SendRequests(ms);
      ReceiveEvents(ms);
      if (ms < 0) continue;
      if (ms % kEvidenceMs == 0) Exchange(ms);
      if (ms % kDecisionMs == 0) Decide(ms);
    }
  }

  MovePhase Phase() const { return m_move.state.phase; }
  double Allowed() const {
    return m_bound.share * static_cast<double>(m_sent) + m_bound.slack;
  }
  double Exposed() const { return static_cast<double>(m_sent_to_new); }

 private:
  static WallTime Wall(std::int64_t ms) { return WallTime(kStartMs + ms); }
  static VersionEvidence::Time Boot(std::int64_t ms) {
    return std::chrono::milliseconds(kStartMs + ms);
  }
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void SendRequests(std::int64_t ms) {
    const double expected =
        m_traffic.requests_per_second * static_cast<double>(kTickMs) / 1000.0;
    for (double left = expected; Draw() < left; left -= 1) Send(ms);
  }

  void Send(std::int64_t ms) {
    std::lognormal_distribution<double> first(std::log(80), 0.5);
    std::lognormal_distribution<double> gap(std::log(25), 0.25);
    SentAttempt attempt;
    attempt.service = m_move.order.service;
    attempt.route = RouteId(Draw() < 0.4 ? "a" : "b");
    attempt.work = TokenCount(1000);
    const bool active = ms >= 0 && IsUndecided(m_move);
    if (active) attempt.move = EvidenceKey(m_move);
    VersionMove routed = m_move;
    if (m_halted && IsUndecided(m_move)) routed.state.share = 0;
    attempt.is_new =
        ms >= 0 && RoutesToNewVersion(routed, m_random() * (1ULL << 32), false);
    const bool slow = attempt.is_new && ms >= m_traffic.slow_from &&
                      routed.state.share >= m_traffic.slow_at_share &&
                      Draw() < m_traffic.slow_share;
    const double factor = slow ? 5 : 1;
    if (ms >= 0) ++m_sent;
    if (attempt.is_new) ++m_sent_to_new;
    if (!active) attempt.is_new = false;
    Stream stream;
    stream.instance = m_random() % kInstances;
    stream.sent_ms = ms;
    stream.first_ms = factor * first(m_random);
    stream.gap_ms = factor * gap(m_random);
    stream.attempt = m_evidence[stream.instance].OnSent(attempt, Boot(ms));
    m_streams.push_back(stream);
  }

  void ReceiveEvents(std::int64_t ms) {
    std::erase_if(m_streams, [&](const Stream& stream) {
      const double since =
          static_cast<double>(ms - stream.sent_ms) - stream.first_ms;
      if (since < 0) return false;
      const auto events = std::min(
          kEvents, 1 + static_cast<std::uint64_t>(since / stream.gap_ms));
      VersionEvidence& evidence = m_evidence[stream.instance];
      evidence.OnEvents(stream.attempt, events, Boot(ms));
      if (events < kEvents) return false;
      evidence.OnEnd(stream.attempt, false, Boot(ms));
      return true;
    });
  }

  /// All instances know what the others knew at the last exchange.
  void Exchange(std::int64_t ms) {
    if (!m_known.empty() && !FindRegression(m_move.order, m_known).empty())
      m_halted = true;
    m_known.clear();
    for (auto& evidence : m_evidence)
      Accumulate(m_known, SumStages(m_move, evidence.Collect(Boot(ms))));
  }

  void Decide(std::int64_t ms) {
    if (m_halted && IsUndecided(m_move)) {
      m_move.state = RolledBack(m_move.state, "halted");
      return;
    }
    const auto next = NextState(m_move, m_known, Wall(ms), m_bound);
    if (next) m_move.state = *next;
  }

  Traffic m_traffic;
  std::mt19937_64 m_random;
  ExposureBound m_bound;
  VersionMove m_move;
  VersionEvidence m_evidence[kInstances];
  MoveEvidence m_known;
  std::vector<Stream> m_streams;
  std::uint64_t m_sent = 0;  ///< during the order
  std::uint64_t m_sent_to_new = 0;
  bool m_halted = false;
};

constexpr std::uint32_t kSeeds = 20;

void CheckRolledBack(const Traffic& traffic) {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation fleet(traffic, seed);
    fleet.Run();
    cr_expect_eq(fleet.Phase(), MovePhase::kRolledBack, "seed %u: phase %d",
                 seed, static_cast<int>(fleet.Phase()));
    cr_expect_leq(fleet.Exposed(), fleet.Allowed(),
                  "seed %u: %.0f requests, %.0f allowed", seed, fleet.Exposed(),
                  fleet.Allowed());
  }
}

}  // namespace

// Guards against: a version several times slower from the beginning gets more
// requests than the exposure bound allows, or is introduced.
Test(move_exposure, a_slow_version_stays_within_the_exposure_bound) {
  for (const std::int64_t duration_ms : {10000, 15000, 30000}) {
    for (const int per_second : {30, 60, 200})
      CheckRolledBack({duration_ms, per_second, 0.5, 0, 0});
  }
}

// Guards against: good results at the trial share cover a version that becomes
// slow later.
Test(move_exposure, a_version_that_becomes_slow_stays_within_the_bound) {
  for (const std::int64_t slow_from : {2000, 4000, 6000, 8000})
    CheckRolledBack({15000, 60, 0.5, slow_from, 0});
}

// Guards against: a version that is slow only with all requests exceeds the
// bound before its slowness is known.
Test(move_exposure, a_version_that_is_slow_under_load_stays_within_the_bound) {
  CheckRolledBack({15000, 60, 0.7, 0, 0.5});
}

Test(move_exposure, a_version_that_is_as_fast_is_introduced_in_time) {
  for (const std::int64_t duration_ms : {10000, 15000, 30000}) {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      FleetSimulation fleet({duration_ms, 60, 0, 0, 0}, seed);
      fleet.Run();
      cr_expect_eq(fleet.Phase(), MovePhase::kDone, "seed %u: phase %d", seed,
                   static_cast<int>(fleet.Phase()));
    }
  }
}
