#include "cowslipknot/gateway/quota.h"

#include <algorithm>
#include <cmath>
#include <numeric>

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

Milliseconds QuotaLimiter::Take(const Workspace& workspace, double cost,
                                Time now) {
  if (workspace.rate_per_s <= 0) return Milliseconds(0);
  Bucket& bucket = m_buckets[workspace.name];
  if (bucket.demand_since.count() == 0) bucket.demand_since = now;
  Decay(bucket, now);
  bucket.demand += cost / kDemandSeconds;
  Refill(bucket, workspace, now);
  // A request larger than what remains is granted partly on credit, so that a
  // small share of the limit still serves large requests.
  const double most = Capacity(bucket, workspace);
  const double needed = std::min(cost, most) * kPaidPart;
  if (bucket.level >= needed) {
    bucket.level -= cost;
    return Milliseconds(0);
  }
  const double wait =
      (needed - bucket.level) / (workspace.rate_per_s * bucket.share);
  return Milliseconds(1 + static_cast<std::int64_t>(wait * 1000));
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

}  // namespace cowslipknot::gateway
