#include "cowslipknot/gateway/quota.h"

#include <algorithm>
#include <cmath>

#include "cowslipknot/coordination/rendezvous.h"

namespace cowslipknot::gateway {
namespace {

/// Fraction of an equal share that an instance keeps without demand.
constexpr double kFloorShareFraction = 0.1;
/// Time constant of the moving average of demand. It can be long, because only
/// the ratio of the demand between instances matters, which changes slowly.
constexpr double kDemandTimeConstantSeconds = 10.0;
/// Demand is not extrapolated from an observation shorter than this.
constexpr double kMinDemandSeconds = 1.0;
/// Fractions of the tolerated slack that is granted as burst, and of the
/// tolerated overage that is added to the rate. The rest compensates for shares
/// that are not yet in force on all instances.
constexpr double kBurstSlackFraction = 0.75;
constexpr double kRateOverageFraction = 0.5;
/// Fraction of a request's cost that must be available when it is granted on
/// credit.
constexpr double kMinPaidFraction = 0.2;
/// Minimum share. With a share of zero an instance would never grant a request
/// again.
constexpr double kMinShare = 0.001;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

/// The rate at which a limit is granted, over all instances.
double GrantedRate(const Workspace& workspace,
                   const QuotaTolerance& tolerance) {
  return workspace.rate_per_s * (1 + kRateOverageFraction * tolerance.overage);
}

Milliseconds TimeToFill(double missing, double rate_per_s) {
  constexpr double kMsPerSecond = 1000;
  return Milliseconds(
      1 + static_cast<std::int64_t>(missing / rate_per_s * kMsPerSecond));
}

}  // namespace

double QuotaShare(double own, double others, std::size_t instances) {
  const double total = own + others;
  const double equal_share =
      1 / static_cast<double>(std::max<std::size_t>(1, instances));
  if (total <= 0) return equal_share;
  return kFloorShareFraction * equal_share +
         (1 - kFloorShareFraction) * own / total;
}

void QuotaLimiter::SetShare(const WorkspaceId& workspace, double share) {
  m_buckets[workspace].share = std::max(share, kMinShare);
}

double QuotaLimiter::Capacity(const Bucket& bucket,
                              const Workspace& workspace) const {
  return bucket.share *
         (workspace.burst + kBurstSlackFraction * m_tolerance.slack);
}

void QuotaLimiter::Refill(Bucket& bucket, const Workspace& workspace,
                          Time now) const {
  const double share = bucket.share;
  const double capacity = Capacity(bucket, workspace);
  if (!bucket.filled) {
    bucket.filled = true;
    bucket.level = capacity;
  } else {
    const double elapsed = Seconds(now - bucket.updated);
    bucket.level +=
        GrantedRate(workspace, m_tolerance) * share * std::max(0.0, elapsed);
  }
  bucket.level = std::min(bucket.level, capacity);
  bucket.updated = now;
}

void QuotaLimiter::Decay(Bucket& bucket, Time now) {
  const double elapsed = std::max(0.0, Seconds(now - bucket.demand_updated));
  bucket.demand *= std::exp(-elapsed / kDemandTimeConstantSeconds);
  bucket.demand_updated = now;
}

double QuotaLimiter::Reserve(const Workspace& workspace, double cost,
                             Time now) {
  if (workspace.rate_per_s <= 0) return 0;
  Bucket& bucket = m_buckets[workspace.name];
  if (bucket.demand_since.count() == 0) bucket.demand_since = now;
  Decay(bucket, now);
  bucket.demand += cost / kDemandTimeConstantSeconds;
  Refill(bucket, workspace, now);
  const double paid = std::clamp(bucket.level, 0.0, cost);
  bucket.level -= paid;
  return cost - paid;
}

void QuotaLimiter::Refund(const Workspace& workspace, double amount) {
  m_buckets[workspace.name].level += amount;
}

Milliseconds QuotaLimiter::TakeWithDebt(const Workspace& workspace, double cost,
                                        Time now) {
  if (workspace.rate_per_s <= 0) return Milliseconds(0);
  Bucket& bucket = m_buckets[workspace.name];
  Refill(bucket, workspace, now);
  const double capacity = Capacity(bucket, workspace);
  const double needed = std::min(cost, capacity) * kMinPaidFraction;
  if (bucket.level >= needed) {
    bucket.level -= cost;
    return Milliseconds(0);
  }
  return TimeToFill(needed - bucket.level,
                    GrantedRate(workspace, m_tolerance) * bucket.share);
}

std::map<WorkspaceId, double> QuotaLimiter::Demand(Time now) {
  std::map<WorkspaceId, double> demand;
  for (auto& [workspace, bucket] : m_buckets) {
    Decay(bucket, now);
    // The moving average started at zero. Correct for the bias of a short
    // observation.
    const double seen =
        std::max(kMinDemandSeconds, Seconds(now - bucket.demand_since));
    const double weight = 1 - std::exp(-seen / kDemandTimeConstantSeconds);
    demand[workspace] = bucket.demand / weight;
  }
  return demand;
}

void QuotaPool::SetShare(const WorkspaceId& workspace, double share, Time now) {
  Pool& pool = m_pools[workspace];
  if (pool.share <= 0) {
    pool.level = 0;
    pool.updated = now;
  }
  pool.share = share;
}

std::optional<Milliseconds> QuotaPool::Lend(const Workspace& workspace,
                                            double amount, Time now) {
  const auto found = m_pools.find(workspace.name);
  if (found == m_pools.end() || found->second.share <= 0) return std::nullopt;
  Pool& pool = found->second;
  const double capacity =
      pool.share * (workspace.burst + kBurstSlackFraction * m_tolerance.slack);
  const double rate = GrantedRate(workspace, m_tolerance) * pool.share;
  const double elapsed = std::max(0.0, Seconds(now - pool.updated));
  pool.level = std::min(capacity, pool.level + rate * elapsed);
  pool.updated = now;
  const double needed = std::min(amount, capacity) * kMinPaidFraction;
  if (pool.level >= needed) {
    pool.level -= amount;
    return Milliseconds(0);
  }
  return TimeToFill(needed - pool.level, rate);
}

std::vector<NodeId> QuotaLenders(const WorkspaceId& workspace,
                                 const std::vector<NodeId>& instances) {
  if (instances.size() < kLendersPerLimit) return {};
  std::vector<CandidateInstance> candidates;
  candidates.reserve(instances.size());
  for (const auto& instance : instances) candidates.push_back({instance});
  auto lenders =
      RankInstances(RequestId(workspace.Text()), NodeId(), candidates);
  lenders.resize(kLendersPerLimit);
  return lenders;
}

}  // namespace cowslipknot::gateway
