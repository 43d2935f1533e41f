#include "cowslipknot/coordination/choose_server.h"

#include <algorithm>
#include <cmath>

#include "cowslipknot/coordination/rendezvous.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kRandomCandidates = 4;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr std::int64_t kEjectionMs = 5000;
constexpr double kReportHalfLifeMs = 500;
constexpr double kOtherDomainMs = 2;
constexpr double kRecomputeRiskMs = 5;  ///< reclaimable, per expected second
constexpr double kDecodeMsPerToken = 20;
/// An affine server is left once its in-flight work is this many times the
/// pool's mean.
constexpr double kAffinityLoadBound = 1.5;

bool Ejected(const ServerView& server, WallTime now) {
  return server.live->ejected_until_ms.load(std::memory_order_relaxed) >
         now.Count();
}

/// Indices of servers that may be used; ejected ones only if most are ejected.
std::vector<std::size_t> Usable(const std::vector<ServerView>& servers,
                                const ChoiceContext& context) {
  std::vector<std::size_t> usable;
  std::vector<std::size_t> untried;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto& id = servers[i].record.id;
    const bool tried = std::find(context.tried.begin(), context.tried.end(),
                                 id) != context.tried.end();
    if (tried) continue;
    untried.push_back(i);
    if (!Ejected(servers[i], context.now)) usable.push_back(i);
  }
  const bool panic = usable.size() * 2 < untried.size();
  return panic ? untried : usable;
}

std::uint64_t Outstanding(const ServerView& server) {
  return server.live->in_flight.load(std::memory_order_relaxed);
}

std::size_t LeastOutstanding(const std::vector<ServerView>& servers,
                             const std::vector<std::size_t>& usable,
                             UnitDraw draw) {
  const auto offset =
      static_cast<std::size_t>(draw * static_cast<double>(usable.size()));
  std::size_t best = usable[offset % usable.size()];
  for (std::size_t i = 0; i < usable.size(); ++i) {
    const std::size_t candidate = usable[(offset + i) % usable.size()];
    if (Outstanding(servers[candidate]) < Outstanding(servers[best])) {
      best = candidate;
    }
  }
  return best;
}

/// The usable server that owns the prefix, those of the own domain first.
std::size_t PrefixHome(const RequestCost& request,
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
    sum += static_cast<double>(Outstanding(servers[i]));
  }
  const double bound =
      std::ceil(kAffinityLoadBound * sum / static_cast<double>(usable.size()));
  const std::size_t home = PrefixHome(request, servers, usable);
  if (static_cast<double>(Outstanding(servers[home])) < bound) return home;
  return LeastOutstanding(servers, usable, draw);
}

/// A score in milliseconds; lower is better.
double Score(const RequestCost& request, const ServerView& server,
             bool prefix_cached, const ChoiceContext& context) {
  const Milliseconds first =
      PredictFirstToken(request, server, prefix_cached, context);
  const double remaining_s =
      static_cast<double>(request.output.Count()) * kDecodeMsPerToken / 1000.0;
  const double risk =
      server.record.reclaimable ? kRecomputeRiskMs * remaining_s : 0;
  return static_cast<double>(first.count()) + risk;
}

std::size_t ChooseByPrediction(const RequestCost& request,
                               const std::vector<ServerView>& servers,
                               const std::vector<std::size_t>& usable,
                               const ChoiceContext& context) {
  const std::size_t home = PrefixHome(request, servers, usable);
  std::vector<std::size_t> candidates = {home};
  const auto stride = std::max<std::size_t>(
      1, usable.size() / std::min(usable.size(), kRandomCandidates));
  const auto offset = static_cast<std::size_t>(
      context.draw * static_cast<double>(usable.size()));
  for (std::size_t i = 0; i < kRandomCandidates; ++i) {
    candidates.push_back(usable[(offset + i * stride) % usable.size()]);
  }
  for (const std::size_t i : usable) {
    if (servers[i].record.id == request.last_prefix_server) {
      candidates.push_back(i);
    }
  }
  std::size_t best = home;
  double best_score = 0;
  bool first = true;
  for (const std::size_t candidate : candidates) {
    const bool cached = candidate == home || servers[candidate].record.id ==
                                                 request.last_prefix_server;
    const double score = Score(request, servers[candidate], cached, context);
    if (!first && score >= best_score) continue;
    best = candidate;
    best_score = score;
    first = false;
  }
  return best;
}

}  // namespace

Milliseconds PredictFirstToken(const RequestCost& request,
                               const ServerView& server, bool prefix_cached,
                               const ChoiceContext& context) {
  const ServerLive& live = *server.live;
  const double rate = std::max<double>(
      1, static_cast<double>(live.prefill_tokens_per_second.load()));
  const auto age = static_cast<double>(
      std::max<std::int64_t>(0, context.now.Count() - live.reported_at_ms));
  const double trust = std::exp2(-age / kReportHalfLifeMs);
  const auto reported = static_cast<double>(live.reported_queue_tokens.load());
  // Without a fresh report the peers are taken to send as much as this one.
  const double local =
      static_cast<double>(live.in_flight_tokens.load()) *
      static_cast<double>(std::max<std::size_t>(1, context.entry_instances));
  const double queue = trust * reported + (1 - trust) * local;
  const double cached =
      prefix_cached ? static_cast<double>(request.prefix.Count()) : 0;
  const double own =
      std::max(0.0, static_cast<double>(request.prompt.Count()) - cached);
  const double distance =
      server.record.domain == context.domain ? 0 : kOtherDomainMs;
  return Milliseconds(
      static_cast<std::int64_t>((queue + own) / rate * 1000 + distance));
}

Result<std::size_t> ChooseServer(const RequestCost& request,
                                 const std::vector<ServerView>& servers,
                                 const ChoiceContext& context) {
  const std::vector<std::size_t> usable = Usable(servers, context);
  if (usable.empty()) return Fail(ResultCode::kNoServer);
  switch (context.policy) {
    case RoutingPolicy::kRoundRobin:
      return usable[context.turn % usable.size()];
    case RoutingPolicy::kLeastOutstanding:
      return LeastOutstanding(servers, usable, context.draw);
    case RoutingPolicy::kAffinity:
      return ChooseByAffinity(request, servers, usable, context.draw);
    case RoutingPolicy::kPredicted:
      break;
  }
  if (request.prompt.Count() == 0) {
    return LeastOutstanding(servers, usable, context.draw);
  }
  return ChooseByPrediction(request, servers, usable, context);
}

void NoteAttempt(ServerLive& live, bool succeeded, WallTime now) {
  if (succeeded) {
    live.failures_in_row = 0;
    return;
  }
  if (++live.failures_in_row < kFailuresToEject) return;
  live.ejected_until_ms = now.Count() + kEjectionMs;
  live.failures_in_row = 0;
}

}  // namespace cowslipknot
