#pragma once

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
/// @param own     demand here, requests refused included
/// @param others  demand at each other instance that may be serving
double QuotaShare(double own, const std::vector<double>& others);

/// Grants requests of one instance within its part of each limit.
///
/// Pure: readings of a monotonic clock are arguments. Single-threaded.
class QuotaLimiter {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param share  part of the limit that is granted here
  void SetShare(const WorkspaceId& workspace, double share);

  /// Takes a request's cost from the workspace's limit.
  /// @return zero when granted, else the time until it would be
  Milliseconds Take(const Workspace& workspace, double cost, Time now);

  /// Mean demand of each workspace over the last seconds, per second.
  std::map<WorkspaceId, double> Demand(Time now);

 private:
  struct Bucket {
    double share = 0;
    double level = 0;
    bool filled = false;
    Time updated{0};
    double demand = 0;  ///< per second, decaying
    Time demand_updated{0};
  };

  static void Refill(Bucket& bucket, const Workspace& workspace, Time now);
  static void Decay(Bucket& bucket, Time now);

  std::map<WorkspaceId, Bucket> m_buckets;
  double m_default_share = 1;
};

}  // namespace cowslipknot::gateway
