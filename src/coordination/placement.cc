#include "cowslipknot/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cowslipknot/coordination/rendezvous.h"

namespace cowslipknot::gateway {
namespace {

/// Initial estimate of the prompt tokens that a server computes per
/// millisecond.
constexpr double kInitialTokensPerMs = 50;
constexpr double kMinTokensPerMs = 2;
constexpr double kMaxTokensPerMs = 200;
/// Weight of one observation in the moving average of a server's prefill rate.
constexpr double kRateWeight = 0.1;
/// The duration of shorter computations depends more on the network than on the
/// server, so they are not used to estimate the prefill rate.
constexpr std::uint64_t kMinWorkTokens = 500;

/// Weight of one observation in the moving average of a server's lag.
constexpr double kLagWeight = 0.3;
/// Time constant with which the lag decays without new observations.
constexpr double kLagTimeConstantMs = 1500;
/// A request that has waited for less does not indicate a slow server.
constexpr double kIgnoredWaitMs = 250;
/// Weight of one attempt in the moving average of the failure share.
constexpr double kFailureWeight = 0.1;
/// Time for which an unreachable server is ejected. It doubles with each
/// consecutive failure, at most kMaxEjectionDoublings times.
constexpr std::chrono::milliseconds kUnreachableEjectionPeriod(700);
constexpr std::uint32_t kMaxEjectionDoublings = 3;

/// Time to the first event in addition to prompt computation.
constexpr double kBaseLatencyMs = 10;
/// Approximate delay that each running request adds to the first event.
constexpr double kRunningRequestMs = 1.0;
/// Approximate delay that each plain call ahead adds.
constexpr double kPlainCallMs = 8;
/// Weight of the delay that the request's prompt computation causes to other
/// requests on the same server.
constexpr double kContentionWeight = 1.0;
/// Servers of other domains are selected only if they are faster by at least
/// this much.
constexpr double kCrossDomainPenaltyMs = 10;
/// Fraction of a shared prefix that is assumed to be cached at the prefix
/// owner, where other instances may have sent it.
constexpr double kOwnerCachedFraction = 0.8;
/// Approximate wait for a slot when all slots of a server are in use.
constexpr double kSlotWaitMs = 400;
/// Penalty of a server that always fails, as a multiple of the request's
/// latency target.
constexpr double kFailurePenaltyTargets = 3;

double Ms(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// The parts that other requests may share: all but the last.
std::vector<PromptPart> SharedParts(const std::vector<PromptPart>& parts) {
  if (parts.empty()) return {};
  return {parts.begin(), parts.end() - 1};
}

std::uint64_t TokensOf(const std::vector<PromptPart>& parts) {
  std::uint64_t tokens = 0;
  for (const auto& part : parts) tokens += part.tokens.Count();
  return tokens;
}

bool IsLocal(const Backend& backend, const PlacementContext& context) {
  return backend.entry.domain == context.domain;
}

/// Mean load that this instance puts on one server of its own domain. Serves as
/// an estimate of the load that other instances cause.
struct LocalLoad {
  double running = 0;
};

LocalLoad MeanLocalLoad(const std::vector<Backend>& backends,
                        const PlacementContext& context) {
  LocalLoad mean;
  double servers = 0;
  for (const auto& backend : backends) {
    if (!IsLocal(backend, context)) continue;
    mean.running += static_cast<double>(backend.state->Running() +
                                        backend.state->Waiting());
    servers += 1;
  }
  if (servers > 0) {
    mean.running /= servers;
  }
  return mean;
}

class Scorer {
 public:
  Scorer(const PlacementRequest& request, const std::vector<Backend>& backends,
         const PlacementContext& context)
      : m_request(request),
        m_backends(backends),
        m_context(context),
        m_local_load(MeanLocalLoad(backends, context)),
        m_shared(SharedParts(request.parts)),
        m_shared_tokens(TokensOf(m_shared)),
        m_prefix_owner(FindPrefixOwner()) {}

  struct Score {
    Placement placement;
    double cost = 0;
  };

  Score ScoreServer(std::size_t index) const {
    const Backend& backend = m_backends[index];
    const BackendState& state = *backend.state;
    const double others = OtherInstances();
    const bool local = IsLocal(backend, m_context);
    double queue = static_cast<double>(state.QueuedTokens().Count());
    double concurrent = static_cast<double>(state.Running() + state.Waiting());
    // Except for announced prompts, the load of other instances is not visible.
    // Assume that each instance of this domain causes the same load as this
    // one, and that a server of another domain has the load that this instance
    // puts on a local server.
    queue += state.RemoteQueuedTokens(m_context.now);
    concurrent += local ? m_local_load.running * others : m_local_load.running;
    const double uncached = UncachedTokens(index);
    Score score;
    score.placement.index = index;
    score.placement.uncached = TokenCount(static_cast<std::uint64_t>(uncached));
    score.placement.work =
        TokenCount(static_cast<std::uint64_t>(queue + uncached));
    double first = kBaseLatencyMs;
    if (backend.is_model) {
      first += (queue + uncached) / state.TokensPerMs() +
               kRunningRequestMs * concurrent;
      score.cost = kContentionWeight * uncached / state.TokensPerMs();
    } else {
      first += kPlainCallMs * concurrent;
    }
    first += std::max(0.0, state.LagMs(m_context.now));
    const double slots = std::max<double>(1, backend.entry.slots);
    if (concurrent >= slots) first += kSlotWaitMs * concurrent / slots;
    score.placement.first_event_ms = first;
    score.cost += first;
    if (!local) score.cost += kCrossDomainPenaltyMs;
    score.cost += state.FailureShare() * kFailurePenaltyTargets *
                  static_cast<double>(m_request.latency_target.count());
    return score;
  }

 private:
  double OtherInstances() const {
    return static_cast<double>(
        std::max<std::size_t>(1, m_context.instances_in_domain) - 1);
  }

  /// The server that owns the shared prefix by rendezvous hashing, so that all
  /// instances agree on it.
  std::size_t FindPrefixOwner() const {
    std::size_t owner = m_backends.size();
    if (m_shared.empty()) return owner;
    const std::string key = std::to_string(m_shared.back().id);
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
      const std::uint64_t weight =
          RendezvousWeight(key, m_backends[i].entry.id.Text());
      if (owner != m_backends.size() && weight <= best) continue;
      best = weight;
      owner = i;
    }
    return owner;
  }

  double UncachedTokens(std::size_t index) const {
    const auto prompt = static_cast<double>(m_request.prompt.Count());
    double cached = static_cast<double>(
        m_backends[index].state->Cache().Match(m_request.parts).Count());
    if (index == m_prefix_owner) {
      cached = std::max(
          cached, kOwnerCachedFraction * static_cast<double>(m_shared_tokens));
    }
    return std::max(0.0, prompt - cached);
  }

  const PlacementRequest& m_request;
  const std::vector<Backend>& m_backends;
  const PlacementContext& m_context;
  LocalLoad m_local_load;
  std::vector<PromptPart> m_shared;
  std::uint64_t m_shared_tokens;
  std::size_t m_prefix_owner;
};

/// Indices of the untried servers, without ejected ones unless all are ejected.
std::vector<std::size_t> UsableServers(const PlacementRequest& request,
                                       const std::vector<Backend>& backends,
                                       const PlacementContext& context) {
  std::vector<std::size_t> usable;
  std::vector<std::size_t> ejected;
  for (std::size_t i = 0; i < backends.size(); ++i) {
    const auto& id = backends[i].entry.id;
    const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                 id) != request.tried.end();
    const BackendState& state = *backends[i].state;
    if (tried || !state.MayGetRequests(context.now)) continue;
    if (state.IsWithheld(context.now)) continue;
    if (request.excludes_limited && state.Limit(context.now)) continue;
    const bool is_ejected = state.IsEjected(context.now);
    (is_ejected ? ejected : usable).push_back(i);
  }
  return usable.empty() ? ejected : usable;
}

}  // namespace

TokenCount PrefixCacheModel::Match(const std::vector<PromptPart>& parts) const {
  std::uint64_t tokens = 0;
  for (const auto& part : parts) {
    if (!m_entries.contains(part.id)) break;
    tokens += part.tokens.Count();
  }
  return TokenCount(tokens);
}

void PrefixCacheModel::Insert(const std::vector<PromptPart>& parts) {
  // Iterate in reverse, so that the first part, which most requests share,
  // becomes the most recently used.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const auto found = m_entries.find(part->id);
    if (found != m_entries.end()) {
      m_recently_used.splice(m_recently_used.begin(), m_recently_used,
                             found->second);
      continue;
    }
    m_recently_used.push_front(*part);
    m_entries[part->id] = m_recently_used.begin();
    m_tokens += part->tokens.Count();
  }
  while (m_tokens > m_capacity.Count() && !m_recently_used.empty()) {
    m_tokens -= m_recently_used.back().tokens.Count();
    m_entries.erase(m_recently_used.back().id);
    m_recently_used.pop_back();
  }
}

BackendState::BackendState(TokenCount cache, Time listed)
    : m_cache(cache), m_notices(listed), m_tokens_per_ms(kInitialTokensPerMs) {}

std::uint64_t BackendState::RecordSent(TokenCount uncached,
                                       const std::vector<PromptPart>& parts,
                                       Time now) {
  m_queue += uncached.Count();
  m_cache.Insert(parts);
  m_waiting.emplace(++m_sent, now);
  return m_sent;
}

void BackendState::RecordNotStarted(std::uint64_t sent, TokenCount uncached) {
  m_queue -= std::min(m_queue, uncached.Count());
  m_waiting.erase(sent);
}

void BackendState::RecordExcessWait(double excess_ms, Time now) {
  m_lag_ms = DecayedLag(now);
  m_lag_ms += kLagWeight * (excess_ms - m_lag_ms);
  m_lag_updated = now;
}

double BackendState::RecordFirstEvent(std::uint64_t sent, TokenCount uncached,
                                      TokenCount work, double predicted,
                                      Time now) {
  const auto waiting = m_waiting.find(sent);
  const double took =
      waiting == m_waiting.end() ? 0 : Ms(now - waiting->second);
  RecordNotStarted(sent, uncached);
  ++m_running;
  const double excess = std::max(0.0, took - predicted);
  RecordExcessWait(excess, now);
  if (work.Count() < kMinWorkTokens || took <= 0) return excess;
  const double observed = static_cast<double>(work.Count()) / took;
  m_tokens_per_ms += kRateWeight * (observed - m_tokens_per_ms);
  m_tokens_per_ms =
      std::clamp(m_tokens_per_ms, kMinTokensPerMs, kMaxTokensPerMs);
  return excess;
}

void BackendState::RecordRemotePrompt(TokenCount uncached, Time now) {
  m_remote_tokens =
      RemoteQueuedTokens(now) + static_cast<double>(uncached.Count());
  m_remote_updated = now;
}

double BackendState::RemoteQueuedTokens(Time now) const {
  const double computed = Ms(now - m_remote_updated) * m_tokens_per_ms;
  return std::max(0.0, m_remote_tokens - std::max(0.0, computed));
}

double BackendState::DecayedLag(Time now) const {
  return m_lag_ms * std::exp(-Ms(now - m_lag_updated) / kLagTimeConstantMs);
}

double BackendState::LagMs(Time now) const {
  // Identifiers increase, so the first entry is the oldest request.
  const double waiting =
      m_waiting.empty() ? 0 : Ms(now - m_waiting.begin()->second);
  return std::max(DecayedLag(now), waiting - kIgnoredWaitMs);
}

void BackendState::RecordFinished() {
  if (m_running > 0) --m_running;
}

void BackendState::RecordSuccess() {
  m_failure_share -= kFailureWeight * m_failure_share;
  m_consecutive_unreachable = 0;
  m_ejected_until = Time(0);
}

void BackendState::RecordFailure(Time) {
  m_failure_share += kFailureWeight * (1 - m_failure_share);
}

void BackendState::RecordUnreachable(Time now) {
  m_ejected_until = now + kUnreachableEjectionPeriod *
                              (1 << std::min(m_consecutive_unreachable,
                                             kMaxEjectionDoublings));
  ++m_consecutive_unreachable;
}

Result<Placement> SelectBackend(const PlacementRequest& request,
                                const std::vector<Backend>& backends,
                                const PlacementContext& context) {
  const std::vector<std::size_t> usable =
      UsableServers(request, backends, context);
  if (usable.empty()) return Fail(ResultCode::kNoServer);
  const Scorer scorer(request, backends, context);
  // Start at a random index, so that ties are broken evenly.
  const auto offset = static_cast<std::size_t>(
      context.draw * static_cast<double>(usable.size()));
  Scorer::Score best;
  best.cost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const auto score = scorer.ScoreServer(usable[(offset + i) % usable.size()]);
    if (score.cost < best.cost) best = score;
  }
  return best.placement;
}

}  // namespace cowslipknot::gateway
