#pragma once

#include <algorithm>
#include <map>
#include <optional>
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

/// Part of each limit that its home instances lend to the others, so that
/// requests large against one instance's part are granted from the whole.
inline constexpr double kPooledPart = 0.6;
/// Homes of each limit; the loss of one leaves most of the pooled part.
inline constexpr std::size_t kQuotaHomes = 3;
inline constexpr double kHomePart =
    kPooledPart / static_cast<double>(kQuotaHomes);

/// Tells a limit's new home when it may lend: not before the former one has
/// surely read of the change. Pure: readings of a monotonic clock are
/// arguments.
class HomeTenure {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param hand_over  longest time until all instances know of a change
  explicit HomeTenure(Milliseconds hand_over) : m_hand_over(hand_over) {}

  /// Notes whether this instance is the home.
  /// @param inherits  it succeeds a process of the same node that was until
  ///                  just now, so that no other instance lends
  void Update(bool is_home, bool inherits, Time now) {
    if (!is_home) {
      m_since.reset();
    } else if (!m_since) {
      m_since = inherits ? now - m_hand_over : now;
    }
  }
  bool IsHome() const { return m_since.has_value(); }
  bool MayLend(Time now) const {
    return m_since && now - *m_since >= m_hand_over;
  }

 private:
  Milliseconds m_hand_over;
  std::optional<Time> m_since;
};

/// Grants requests of one instance within its part of each limit.
///
/// A request is paid from the instance's bucket; what is missing may be
/// borrowed from the limit's home (QuotaPool). Tokens are only ever moved, so
/// that no two instances need to agree.
///
/// Pure: readings of a monotonic clock are arguments. Single-threaded.
class QuotaLimiter {
 public:
  using Time = std::chrono::nanoseconds;

  explicit QuotaLimiter(QuotaTolerance tolerance) : m_tolerance(tolerance) {}

  /// @param share  part of the limit that is granted here
  void SetShare(const WorkspaceId& workspace, double share);

  /// Takes as much of a request's cost as is there, and notes the demand.
  /// @return what is missing; zero when the request is paid
  double Reserve(const Workspace& workspace, double cost, Time now);
  /// Gives back what was reserved for a request that was not granted.
  void Refund(const Workspace& workspace, double amount);

  /// Takes a request's cost where no home can be asked: a fifth of it must be
  /// there, the rest is owed. Notes no demand.
  /// @return zero when granted, else the time until it would be
  Milliseconds TakeOnCredit(const Workspace& workspace, double cost, Time now);

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

/// The pooled parts of the limits whose home this instance is.
///
/// Pure: readings of a monotonic clock are arguments. Single-threaded.
class QuotaPool {
 public:
  using Time = std::chrono::nanoseconds;

  explicit QuotaPool(QuotaTolerance tolerance) : m_tolerance(tolerance) {}

  /// @param part  of the limit that is lent here; zero where this instance is
  ///              not its home. A pool begins empty.
  void SetPart(const WorkspaceId& workspace, double part, Time now);

  /// Lends a cost. A fifth of it must be there, the rest is owed, so that a
  /// large request is not starved by small ones.
  /// @return zero when lent, else the time until it would be; none when this
  ///         instance is not the limit's home
  std::optional<Milliseconds> Lend(const Workspace& workspace, double amount,
                                   Time now);

 private:
  struct Pool {
    double part = 0;
    double level = 0;
    Time updated{0};
  };

  QuotaTolerance m_tolerance;
  std::map<WorkspaceId, Pool> m_pools;
};

/// The instances that lend a limit: the same ones wherever the same instances
/// are known. @return kQuotaHomes of them, or none where there are fewer
std::vector<NodeId> QuotaHomes(const WorkspaceId& workspace,
                               const std::vector<NodeId>& instances);

}  // namespace cowslipknot::gateway
