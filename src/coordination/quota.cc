#include "cowslipknot/gateway/quota.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "cowslipknot/coordination/rendezvous.h"

namespace cowslipknot::gateway {
namespace {

/// Part of an equal share that an instance keeps without any demand.
constexpr double kFloorPart = 0.1;
/// Time constant of the demand's decaying mean. Only its ratio between
/// instances counts, which changes slowly.
constexpr double kDemandSeconds = 10.0;
/// A mean over less time than this is not extrapolated.
constexpr double kLeastDemandSeconds = 1.0;
/// Part of the tolerated slack that is granted as burst. The rest, and the
/// tolerated overage, absorb shares that are not yet in force everywhere.
constexpr double kSlackPart = 0.75;
/// Part of a request's cost that must be there when it is granted.
constexpr double kPaidPart = 0.2;
/// A share of zero would never grant again.
constexpr double kSmallestShare = 0.001;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

Milliseconds TimeToFill(double missing, double rate_per_s) {
  constexpr double kMsPerSecond = 1000;
  return Milliseconds(
      1 + static_cast<std::int64_t>(missing / rate_per_s * kMsPerSecond));
}

}  // namespace

double QuotaShare(double own, const std::vector<double>& others) {
  const double instances = static_cast<double>(others.size()) + 1;
  const double total = own + std::accumulate(others.begin(), others.end(), 0.0);
  const double equal = 1 / instances;
  if (total <= 0) return equal;
  return kFloorPart * equal + (1 - kFloorPart) * own / total;
}

void QuotaLimiter::SetShare(const WorkspaceId& workspace, double share) {
  m_buckets[workspace].share = std::max(share, kSmallestShare);
}

double QuotaLimiter::Capacity(const Bucket& bucket,
                              const Workspace& workspace) const {
  return bucket.share * (workspace.burst + kSlackPart * m_tolerance.slack);
}

void QuotaLimiter::Refill(Bucket& bucket, const Workspace& workspace,
                          Time now) const {
  const double share = bucket.share;
  const double most = Capacity(bucket, workspace);
  if (!bucket.filled) {
    bucket.filled = true;
    bucket.level = most;
  } else {
    const double passed = Seconds(now - bucket.updated);
    bucket.level += workspace.rate_per_s * share * std::max(0.0, passed);
  }
  bucket.level = std::min(bucket.level, most);
  bucket.updated = now;
}

void QuotaLimiter::Decay(Bucket& bucket, Time now) {
  const double passed = std::max(0.0, Seconds(now - bucket.demand_updated));
  bucket.demand *= std::exp(-passed / kDemandSeconds);
  bucket.demand_updated = now;
}

double QuotaLimiter::Reserve(const Workspace& workspace, double cost,
                             Time now) {
  if (workspace.rate_per_s <= 0) return 0;
  Bucket& bucket = m_buckets[workspace.name];
  if (bucket.demand_since.count() == 0) bucket.demand_since = now;
  Decay(bucket, now);
  bucket.demand += cost / kDemandSeconds;
  Refill(bucket, workspace, now);
  const double paid = std::clamp(bucket.level, 0.0, cost);
  bucket.level -= paid;
  return cost - paid;
}

void QuotaLimiter::Refund(const Workspace& workspace, double amount) {
  m_buckets[workspace.name].level += amount;
}

Milliseconds QuotaLimiter::TakeOnCredit(const Workspace& workspace, double cost,
                                        Time now) {
  if (workspace.rate_per_s <= 0) return Milliseconds(0);
  Bucket& bucket = m_buckets[workspace.name];
  Refill(bucket, workspace, now);
  const double most = Capacity(bucket, workspace);
  const double needed = std::min(cost, most) * kPaidPart;
  if (bucket.level >= needed) {
    bucket.level -= cost;
    return Milliseconds(0);
  }
  return TimeToFill(needed - bucket.level, workspace.rate_per_s * bucket.share);
}

std::map<WorkspaceId, double> QuotaLimiter::Demand(Time now) {
  std::map<WorkspaceId, double> demand;
  for (auto& [workspace, bucket] : m_buckets) {
    Decay(bucket, now);
    // The mean began at zero; what is missing is made up for.
    const double seen =
        std::max(kLeastDemandSeconds, Seconds(now - bucket.demand_since));
    const double weight = 1 - std::exp(-seen / kDemandSeconds);
    demand[workspace] = bucket.demand / weight;
  }
  return demand;
}

void QuotaPool::SetPart(const WorkspaceId& workspace, double part, Time now) {
  Pool& pool = m_pools[workspace];
  if (pool.part <= 0) {
    pool.level = 0;
    pool.updated = now;
  }
  pool.part = part;
}

std::optional<Milliseconds> QuotaPool::Lend(const Workspace& workspace,
                                            double amount, Time now) {
  const auto found = m_pools.find(workspace.name);
  if (found == m_pools.end() || found->second.part <= 0) return std::nullopt;
  Pool& pool = found->second;
  const double most =
      pool.part * (workspace.burst + kSlackPart * m_tolerance.slack);
  const double rate = workspace.rate_per_s * pool.part;
  const double passed = std::max(0.0, Seconds(now - pool.updated));
  pool.level = std::min(most, pool.level + rate * passed);
  pool.updated = now;
  const double needed = std::min(amount, most) * kPaidPart;
  if (pool.level >= needed) {
    pool.level -= amount;
    return Milliseconds(0);
  }
  return TimeToFill(needed - pool.level, rate);
}

std::vector<NodeId> QuotaHomes(const WorkspaceId& workspace,
                               const std::vector<NodeId>& instances) {
  if (instances.size() < kQuotaHomes) return {};
  std::vector<HolderCandidate> candidates;
  candidates.reserve(instances.size());
  for (const auto& instance : instances) candidates.push_back({instance});
  auto homes = RankHolders(RequestId(workspace.Text()), NodeId(), candidates);
  homes.resize(kQuotaHomes);
  return homes;
}

}  // namespace cowslipknot::gateway
