#include "cowslipknot/coordination/choose_server.h"

#include <algorithm>
#include <cmath>

#include "cowslipknot/coordination/rendezvous.h"
#include "cowslipknot/coordination/server_pause.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kRandomCandidates = 2;
constexpr std::size_t kMaxPrefixOwners = 3;
/// An owner of the prefix is used as long as its score is within this fraction
/// of the target time to first token.
constexpr double kOwnerTargetFraction = 0.6;
/// A request is rejected when its predicted time to first token is more than
/// this multiple of the target.
constexpr int kRejectTargetFactor = 2;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr std::int64_t kEjectionPeriodMs = 5000;
/// Weight of one observation in the moving average of a server's prefill rate.
constexpr double kRateWeight = 0.2;
/// The duration of shorter computations depends more on the network than on the
/// server, so they are not used to estimate the prefill rate.
constexpr std::uint64_t kMinWorkTokens = 100;
constexpr double kMinPrefillRate = 10;       ///< tokens per second
constexpr double kMaxPrefillRate = 1000000;  ///< tokens per second
constexpr double kMsPerSecond = 1000;
/// Network latency to a server in another failure domain.
constexpr double kCrossDomainPenaltyMs = 2;
/// Penalty for a reclaimable server per second of expected decoding, because
/// tokens must be recomputed if the server is reclaimed.
constexpr double kReclaimPenaltyMs = 5;
constexpr double kDecodeMsPerToken = 20;
/// The affinity policy uses another server when the preferred one has this many
/// times the pool's mean number of requests in flight.
constexpr double kAffinityLoadFactor = 1.5;

bool IsEjected(const ServerView& server, WallTime now) {
  return server.load->ejected_until_ms.load(std::memory_order_relaxed) >
         now.Count();
}

/// Indices of the untried servers that neither leave nor are unavailable,
/// without ejected ones unless more than half are ejected.
std::vector<std::size_t> UsableServers(const std::vector<ServerView>& servers,
                                       const ChoiceContext& context) {
  std::vector<std::size_t> usable;
  std::vector<std::size_t> untried;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto& id = servers[i].record.id;
    const bool tried = std::find(context.tried.begin(), context.tried.end(),
                                 id) != context.tried.end();
    const ServerLoad& load = *servers[i].load;
    const bool excluded = tried || load.leaving ||
                          IsUnavailable(load, context.since_boot) ||
                          (context.unlimited_only && load.limited);
    if (excluded) continue;
    untried.push_back(i);
    if (!IsEjected(servers[i], context.now)) usable.push_back(i);
  }
  const bool most_ejected = usable.size() * 2 < untried.size();
  return most_ejected ? untried : usable;
}

std::uint64_t InFlight(const ServerView& server) {
  return server.load->in_flight.load(std::memory_order_relaxed);
}

std::size_t ChooseLeastOutstanding(const std::vector<ServerView>& servers,
                                   const std::vector<std::size_t>& usable,
                                   UnitDraw draw) {
  const auto offset =
      static_cast<std::size_t>(draw * static_cast<double>(usable.size()));
  std::size_t best = usable[offset % usable.size()];
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const std::size_t candidate = usable[(offset + i) % usable.size()];
    if (InFlight(servers[candidate]) < InFlight(servers[best])) {
      best = candidate;
    }
  }
  return best;
}

/// The usable server that owns the prefix by rendezvous hashing.
std::size_t PrefixOwner(const RequestCost& request,
                        const std::vector<ServerView>& servers,
                        const std::vector<std::size_t>& usable) {
  const std::string key = std::to_string(request.prefix_hash);
  std::size_t best = usable.front();
  std::uint64_t best_weight = 0;
  for (const std::size_t candidate : usable) {
    const std::uint64_t weight =
        RendezvousWeight(key, servers[candidate].record.id.Text());
    if (weight < best_weight) continue;
    best = candidate;
    best_weight = weight;
  }
  return best;
}

std::size_t ChooseByAffinity(const RequestCost& request,
                             const std::vector<ServerView>& servers,
                             const std::vector<std::size_t>& usable,
                             UnitDraw draw) {
  double sum = 1;
  for (const std::size_t i : usable) {
    sum += static_cast<double>(InFlight(servers[i]));
  }
  const double bound =
      std::ceil(kAffinityLoadFactor * sum / static_cast<double>(usable.size()));
  const std::size_t owner = PrefixOwner(request, servers, usable);
  if (static_cast<double>(InFlight(servers[owner])) < bound) return owner;
  return ChooseLeastOutstanding(servers, usable, draw);
}

/// The usable servers with the highest rendezvous weights for the prefix, best
/// first. The first one is the owner; the others take over from it.
std::vector<std::size_t> RankPrefixOwners(
    const RequestCost& request, const std::vector<ServerView>& servers,
    const std::vector<std::size_t>& usable) {
  const std::string key = std::to_string(request.prefix_hash);
  std::vector<std::pair<std::uint64_t, std::size_t>> weighted;
  weighted.reserve(usable.size());
  for (const std::size_t i : usable) {
    weighted.emplace_back(RendezvousWeight(key, servers[i].record.id.Text()),
                          i);
  }
  const std::size_t count = std::min(kMaxPrefixOwners, weighted.size());
  const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weighted.begin(), middle, weighted.end(), std::greater<>());
  std::vector<std::size_t> order;
  for (auto entry = weighted.begin(); entry != middle; ++entry) {
    order.push_back(entry->second);
  }
  return order;
}

/// Cost in milliseconds; lower is better. The predicted time to first token
/// plus the penalty for a reclaimable server.
double Score(const RequestCost& request, const ServerView& server,
             bool prefix_cached, const ChoiceContext& context) {
  const Milliseconds first =
      PredictFirstToken(request, server, prefix_cached, context);
  const double remaining_s = static_cast<double>(request.output.Count()) *
                             kDecodeMsPerToken / kMsPerSecond;
  const double reclaim_penalty =
      server.record.reclaimable ? kReclaimPenaltyMs * remaining_s : 0;
  return static_cast<double>(first.count()) + reclaim_penalty;
}

/// Selects the first owner of the prefix whose score is well within the target.
/// If there is none, selects the best of the owners and some random servers.
///
/// Recomputing a prefix on a server that has not cached it takes capacity from
/// all requests, so other servers are used only when needed to meet the
/// target.
std::size_t ChooseByPrediction(const RequestCost& request,
                               const std::vector<ServerView>& servers,
                               const std::vector<std::size_t>& usable,
                               const ChoiceContext& context) {
  const double score_limit =
      kOwnerTargetFraction * static_cast<double>(context.target.count());
  std::vector<std::size_t> candidates =
      RankPrefixOwners(request, servers, usable);
  const std::size_t owner = candidates.front();
  const auto score = [&](std::size_t i) {
    const bool cached =
        i == owner || servers[i].record.id == request.last_prefix_server;
    return Score(request, servers[i], cached, context);
  };
  for (const std::size_t candidate : candidates) {
    if (score(candidate) <= score_limit) return candidate;
  }
  const auto offset = static_cast<std::size_t>(
      context.draw * static_cast<double>(usable.size()));
  for (std::size_t i = 0; i < kRandomCandidates; ++i) {
    candidates.push_back(usable[(offset + i) % usable.size()]);
  }
  return *std::min_element(candidates.begin(), candidates.end(),
                           [&score](std::size_t left, std::size_t right) {
                             return score(left) < score(right);
                           });
}

std::size_t ChooseIndex(const RequestCost& request,
                        const std::vector<ServerView>& servers,
                        const std::vector<std::size_t>& usable,
                        const ChoiceContext& context) {
  switch (context.policy) {
    case RoutingPolicy::kRoundRobin:
      return usable[context.round_robin_index % usable.size()];
    case RoutingPolicy::kLeastOutstanding:
      return ChooseLeastOutstanding(servers, usable, context.draw);
    case RoutingPolicy::kAffinity:
      return ChooseByAffinity(request, servers, usable, context.draw);
    case RoutingPolicy::kPredicted:
      break;
  }
  if (request.prompt.Count() == 0) {
    return ChooseLeastOutstanding(servers, usable, context.draw);
  }
  return ChooseByPrediction(request, servers, usable, context);
}

TokenCount UncachedTokens(const RequestCost& request, bool prefix_cached) {
  const std::uint64_t cached =
      prefix_cached ? request.prefix.Count() : std::uint64_t{0};
  return TokenCount(request.prompt.Count() -
                    std::min(request.prompt.Count(), cached));
}

}  // namespace

Milliseconds PredictFirstToken(const RequestCost& request,
                               const ServerView& server, bool prefix_cached,
                               const ChoiceContext& context) {
  const auto rate = static_cast<double>(
      std::max<std::uint64_t>(1, server.load->prefill_tokens_per_second));
  const TokenCount queue = EstimateQueue(*server.load, context.now);
  const TokenCount own = UncachedTokens(request, prefix_cached);
  const double distance =
      server.record.domain == context.domain ? 0 : kCrossDomainPenaltyMs;
  const auto work = static_cast<double>(queue.Count() + own.Count());
  return Milliseconds(
      static_cast<std::int64_t>(work / rate * kMsPerSecond + distance));
}

TokenCount EstimateQueue(const ServerLoad& load, WallTime now) {
  const auto rate = static_cast<double>(load.prefill_tokens_per_second.load());
  const auto age_ms = static_cast<double>(
      std::max<std::int64_t>(0, now.Count() - load.reported_at_ms));
  const auto reported = static_cast<double>(load.reported_queue_tokens.load());
  const double left = std::max(0.0, reported - rate * age_ms / kMsPerSecond);
  const std::uint64_t queue =
      static_cast<std::uint64_t>(left) + load.tokens_since_report;
  return TokenCount(std::max<std::uint64_t>(queue, load.in_flight_tokens));
}

bool RecordLeaving(ServerLoad& load) { return !load.leaving.exchange(true); }

void RecordQueueReport(ServerLoad& load, TokenCount queue, WallTime now) {
  load.reported_queue_tokens = queue.Count();
  load.reported_at_ms = now.Count();
  load.tokens_since_report = 0;
}

void RecordFirstToken(ServerLoad& load, TokenCount work, Milliseconds took) {
  if (work.Count() < kMinWorkTokens || took.count() <= 0) return;
  const double observed = static_cast<double>(work.Count()) * kMsPerSecond /
                          static_cast<double>(took.count());
  const auto estimated =
      static_cast<double>(load.prefill_tokens_per_second.load());
  const double next = estimated + kRateWeight * (observed - estimated);
  load.prefill_tokens_per_second = static_cast<std::uint64_t>(
      std::clamp(next, kMinPrefillRate, kMaxPrefillRate));
}

Result<ServerSelection> ChooseServer(const RequestCost& request,
                                     const std::vector<ServerView>& servers,
                                     const ChoiceContext& context) {
  const std::vector<std::size_t> usable = UsableServers(servers, context);
  if (usable.empty()) return Fail(ResultCode::kNoServer);
  ServerSelection selection;
  selection.index = ChooseIndex(request, servers, usable, context);
  const ServerView& server = servers[selection.index];
  const bool cached =
      request.prompt.Count() > 0 &&
      (server.record.id == request.last_prefix_server ||
       PrefixOwner(request, servers, usable) == selection.index);
  selection.queue = EstimateQueue(*server.load, context.now);
  selection.uncached = UncachedTokens(request, cached);
  selection.first_token = PredictFirstToken(request, server, cached, context);
  return selection;
}

bool CannotMeetTarget(const ServerSelection& selection, const ServerLoad& load,
                      Milliseconds target) {
  if (load.in_flight == 0) return false;
  return selection.first_token > target * kRejectTargetFactor;
}

void RecordAttempt(ServerLoad& load, bool succeeded, WallTime now) {
  if (succeeded) {
    load.consecutive_failures = 0;
    return;
  }
  if (++load.consecutive_failures < kFailuresToEject) return;
  load.ejected_until_ms = now.Count() + kEjectionPeriodMs;
  load.consecutive_failures = 0;
}

}  // namespace cowslipknot
