#include "cowslipknot/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cowslipknot/coordination/rendezvous.h"

namespace cowslipknot::gateway {
namespace {

/// Prompt tokens a server computes a millisecond, until it is observed.
constexpr double kFirstTokensPerMs = 50;
constexpr double kSlowestTokensPerMs = 2;
constexpr double kFastestTokensPerMs = 200;
/// Weight of one observation in a server's believed speed.
constexpr double kSpeedWeight = 0.1;
/// Shorter computations say more of the network than of the server.
constexpr std::uint64_t kLeastWorkTokens = 500;

constexpr double kLagWeight = 0.3;
/// Time constant in which a lag that is not confirmed is forgotten.
constexpr double kLagDecayMs = 1500;
/// A request that waits for less says nothing of its server.
constexpr double kUnsuspiciousMs = 250;
constexpr double kFailureWeight = 0.1;
constexpr std::chrono::milliseconds kAvoidUnreachable(700);
constexpr std::uint32_t kMostDoublings = 3;

/// Time to the first event beside prompt computation.
constexpr double kBaseMs = 10;
/// A running request slows the others by about this much.
constexpr double kRunningMs = 1.0;
/// A plain call that waits ahead takes about this much.
constexpr double kPlainCallMs = 8;
/// Computing tokens delays the requests running beside them, too.
constexpr double kOthersPart = 1.0;
/// Servers of other domains are taken when they are ahead by this much.
constexpr double kOtherDomainMs = 10;
/// Part of a shared prefix counted as kept at its home, which other instances
/// may have filled.
constexpr double kHomePart = 0.8;
/// Requests beyond a server's places wait for one to end.
constexpr double kNoPlaceMs = 400;
/// A server that always fails is as bad as one this many objectives away.
constexpr double kFailureObjectives = 3;

double Ms(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Parts that other requests share: all but the last.
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

/// Mean load that this domain's instances put on one of its servers; taken
/// for the load of servers that other instances use.
struct Background {
  double running = 0;
};

Background LocalBackground(const std::vector<Backend>& backends,
                           const PlacementContext& context) {
  Background mean;
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
        m_background(LocalBackground(backends, context)),
        m_shared(SharedParts(request.parts)),
        m_shared_tokens(TokensOf(m_shared)),
        m_home(FindHome()) {}

  struct Score {
    Placement placement;
    double cost = 0;
  };

  Score Rate(std::size_t index) const {
    const Backend& backend = m_backends[index];
    const BackendState& state = *backend.state;
    const double others = OtherInstances();
    const bool local = IsLocal(backend, m_context);
    double queue = static_cast<double>(state.Queue().Count());
    double present = static_cast<double>(state.Running() + state.Waiting());
    // What other instances run is not seen: those of this domain are taken
    // to do as this one does, those of others as this domain does.
    queue += state.RemoteQueue(m_context.now);
    present += local ? m_background.running * others : m_background.running;
    const double uncached = Uncached(index);
    Score score;
    score.placement.index = index;
    score.placement.uncached = TokenCount(static_cast<std::uint64_t>(uncached));
    score.placement.work =
        TokenCount(static_cast<std::uint64_t>(queue + uncached));
    double first = kBaseMs;
    if (backend.is_model) {
      first += (queue + uncached) / state.TokensPerMs() + kRunningMs * present;
      score.cost = kOthersPart * uncached / state.TokensPerMs();
    } else {
      first += kPlainCallMs * present;
    }
    first += std::max(0.0, state.Lag(m_context.now));
    const double places = std::max<double>(1, backend.entry.slots);
    if (present >= places) first += kNoPlaceMs * present / places;
    score.placement.first_event_ms = first;
    score.cost += first;
    if (!local) score.cost += kOtherDomainMs;
    score.cost += state.FailureShare() * kFailureObjectives *
                  static_cast<double>(m_request.objective.count());
    return score;
  }

 private:
  double OtherInstances() const {
    return static_cast<double>(
        std::max<std::size_t>(1, m_context.instances_in_domain) - 1);
  }

  /// The server that all instances agree on for the shared prefix.
  std::size_t FindHome() const {
    std::size_t home = m_backends.size();
    if (m_shared.empty()) return home;
    const std::string key = std::to_string(m_shared.back().id);
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < m_backends.size(); ++i) {
      const std::uint64_t weight =
          RendezvousWeight(key, m_backends[i].entry.id.Text());
      if (home != m_backends.size() && weight <= best) continue;
      best = weight;
      home = i;
    }
    return home;
  }

  double Uncached(std::size_t index) const {
    const auto prompt = static_cast<double>(m_request.prompt.Count());
    double kept = static_cast<double>(
        m_backends[index].state->Cache().Match(m_request.parts).Count());
    if (index == m_home) {
      kept = std::max(kept, kHomePart * static_cast<double>(m_shared_tokens));
    }
    return std::max(0.0, prompt - kept);
  }

  const PlacementRequest& m_request;
  const std::vector<Backend>& m_backends;
  const PlacementContext& m_context;
  Background m_background;
  std::vector<PromptPart> m_shared;
  std::uint64_t m_shared_tokens;
  std::size_t m_home;
};

/// Indices that may be used; avoided ones only if there is no other.
std::vector<std::size_t> Usable(const PlacementRequest& request,
                                const std::vector<Backend>& backends,
                                const PlacementContext& context) {
  std::vector<std::size_t> usable;
  std::vector<std::size_t> avoided;
  for (std::size_t i = 0; i < backends.size(); ++i) {
    const auto& id = backends[i].entry.id;
    const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                 id) != request.tried.end();
    if (tried) continue;
    const bool avoid = backends[i].state->Avoided(context.now);
    (avoid ? avoided : usable).push_back(i);
  }
  return usable.empty() ? avoided : usable;
}

}  // namespace

TokenCount PartCache::Match(const std::vector<PromptPart>& parts) const {
  std::uint64_t tokens = 0;
  for (const auto& part : parts) {
    if (!m_known.contains(part.id)) break;
    tokens += part.tokens.Count();
  }
  return TokenCount(tokens);
}

void PartCache::Note(const std::vector<PromptPart>& parts) {
  // The first part is used by the most requests: it is made the most recent.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const auto known = m_known.find(part->id);
    if (known != m_known.end()) {
      m_order.splice(m_order.begin(), m_order, known->second);
      continue;
    }
    m_order.push_front(*part);
    m_known[part->id] = m_order.begin();
    m_tokens += part->tokens.Count();
  }
  while (m_tokens > m_capacity.Count() && !m_order.empty()) {
    m_tokens -= m_order.back().tokens.Count();
    m_known.erase(m_order.back().id);
    m_order.pop_back();
  }
}

BackendState::BackendState(TokenCount cache)
    : m_cache(cache), m_tokens_per_ms(kFirstTokensPerMs) {}

std::uint64_t BackendState::NoteSent(TokenCount uncached,
                                     const std::vector<PromptPart>& parts,
                                     Time now) {
  m_queue += uncached.Count();
  m_cache.Note(parts);
  m_waiting.emplace(++m_sent, now);
  return m_sent;
}

void BackendState::NoteUnstarted(std::uint64_t sent, TokenCount uncached) {
  m_queue -= std::min(m_queue, uncached.Count());
  m_waiting.erase(sent);
}

void BackendState::NoteFirstEvent(std::uint64_t sent, TokenCount uncached,
                                  TokenCount work, double predicted, Time now) {
  const auto waiting = m_waiting.find(sent);
  const double took =
      waiting == m_waiting.end() ? 0 : Ms(now - waiting->second);
  NoteUnstarted(sent, uncached);
  ++m_running;
  m_lag_ms = DecayedLag(now);
  m_lag_ms += kLagWeight * (std::max(0.0, took - predicted) - m_lag_ms);
  m_lag_updated = now;
  if (work.Count() < kLeastWorkTokens || took <= 0) return;
  const double observed = static_cast<double>(work.Count()) / took;
  m_tokens_per_ms += kSpeedWeight * (observed - m_tokens_per_ms);
  m_tokens_per_ms =
      std::clamp(m_tokens_per_ms, kSlowestTokensPerMs, kFastestTokensPerMs);
}

void BackendState::NoteRemote(TokenCount uncached, Time now) {
  m_remote = RemoteQueue(now) + static_cast<double>(uncached.Count());
  m_remote_updated = now;
}

double BackendState::RemoteQueue(Time now) const {
  const double computed = Ms(now - m_remote_updated) * m_tokens_per_ms;
  return std::max(0.0, m_remote - std::max(0.0, computed));
}

double BackendState::DecayedLag(Time now) const {
  return m_lag_ms * std::exp(-Ms(now - m_lag_updated) / kLagDecayMs);
}

double BackendState::Lag(Time now) const {
  const double waiting =
      m_waiting.empty() ? 0 : Ms(now - m_waiting.begin()->second);
  return std::max(DecayedLag(now), waiting - kUnsuspiciousMs);
}

void BackendState::NoteFinished() {
  if (m_running > 0) --m_running;
}

void BackendState::NoteSuccess() {
  m_failures -= kFailureWeight * m_failures;
  m_unreachable_in_row = 0;
  m_avoided_until = Time(0);
}

void BackendState::NoteFailure(Time) {
  m_failures += kFailureWeight * (1 - m_failures);
}

void BackendState::NoteUnreachable(Time now) {
  m_avoided_until =
      now +
      kAvoidUnreachable * (1 << std::min(m_unreachable_in_row, kMostDoublings));
  ++m_unreachable_in_row;
}

Result<Placement> Place(const PlacementRequest& request,
                        const std::vector<Backend>& backends,
                        const PlacementContext& context) {
  const std::vector<std::size_t> usable = Usable(request, backends, context);
  if (usable.empty()) return Fail(ResultCode::kNoServer);
  const Scorer scorer(request, backends, context);
  // Starting anywhere breaks ties evenly.
  const auto offset = static_cast<std::size_t>(
      context.draw * static_cast<double>(usable.size()));
  Scorer::Score best;
  best.cost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const auto score = scorer.Rate(usable[(offset + i) % usable.size()]);
    if (score.cost < best.cost) best = score;
  }
  return best.placement;
}

}  // namespace cowslipknot::gateway
