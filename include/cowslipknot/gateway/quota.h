#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/ids.h"

/// A workspace's limit over all instances, kept without asking them.
namespace cowslipknot::gateway {

/// The part of a limit that one instance may grant.
///
/// Parts follow demand, so that an instance with all of the load gets nearly
/// all of the limit; a floor lets one without demand begin.
/// @param own     demand here, requests refused included, per second
/// @param others  demand at each other instance that may be serving
double QuotaShare(double own, const std::vector<double>& others);

/// A share whose rises take effect one exchange late, when the instances that
/// must grant less have read the same reports. Falls take effect at once.
class DelayedShare {
 public:
  /// Notes the share computed at an exchange.
  void Update(double share) {
    m_in_force = m_updated ? std::min(share, m_computed) : share;
    m_computed = share;
    m_updated = true;
  }
  double InForce() const { return m_in_force; }

 private:
  double m_computed = 0;
  double m_in_force = 0;
  bool m_updated = false;
};

/// Grants requests of one instance within its part of each limit.
///
/// Pure: readings of a monotonic clock are arguments. Single-threaded.
class QuotaLimiter {
 public:
  using Time = std::chrono::nanoseconds;

  explicit QuotaLimiter(QuotaTolerance tolerance) : m_tolerance(tolerance) {}

  /// @param share  part of the limit that is granted here
  void SetShare(const WorkspaceId& workspace, double share);

  /// Takes a request's cost from the workspace's limit.
  /// @return zero when granted, else the time until it would be
  Milliseconds Take(const Workspace& workspace, double cost, Time now);

  /// Mean demand of each workspace over the last seconds, per second.
  std::map<WorkspaceId, double> Demand(Time now);

 private:
  struct Bucket {
    double share = 0.001;  ///< until one is set
    double level = 0;
    bool filled = false;
    Time updated{0};
    double demand = 0;  ///< per second, decaying
    Time demand_updated{0};
    Time demand_since{0};
  };

  double Capacity(const Bucket& bucket, const Workspace& workspace) const;
  void Refill(Bucket& bucket, const Workspace& workspace, Time now) const;
  static void Decay(Bucket& bucket, Time now);

  QuotaTolerance m_tolerance;
  std::map<WorkspaceId, Bucket> m_buckets;
};

}  // namespace cowslipknot::gateway
