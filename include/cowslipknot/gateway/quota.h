#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/ids.h"

/// Distributed rate limiting: enforces a workspace's limit over all instances
/// without coordination on each request.
namespace cowslipknot::gateway {

/// Computes the fraction of a limit that one instance may grant.
///
/// Shares are proportional to demand, so an instance with all of the load
/// gets nearly all of the limit. A minimum share lets an instance without
/// demand grant its first requests.
/// @param own        demand per second at this instance, including rejected
///                   requests
/// @param others     demand per second at all other instances together
/// @param instances  instances that may be serving, including this one
double QuotaShare(double own, double others, std::size_t instances);

/// A share whose increases take effect one exchange of reports later, when the
/// instances whose shares decrease have read the same reports. Decreases take
/// effect immediately.
class DelayedShare {
 public:
  /// Sets the share computed at an exchange of reports.
  void Update(double share) {
    m_current = m_updated ? std::min(share, m_last_computed) : share;
    m_last_computed = share;
    m_updated = true;
  }
  double Current() const { return m_current; }

 private:
  double m_last_computed = 0;
  double m_current = 0;
  bool m_updated = false;
};

/// Fraction of each limit that its lenders lend to other instances, so that a
/// request that is large compared with one instance's share can still be
/// granted.
inline constexpr double kPooledFraction = 0.6;
/// Number of lenders of each limit. With three, the loss of one leaves two
/// thirds of the pooled fraction.
inline constexpr std::size_t kLendersPerLimit = 3;
/// Fraction of each limit that one lender lends.
inline constexpr double kLenderFraction =
    kPooledFraction / static_cast<double>(kLendersPerLimit);

/// Tracks whether this instance is a lender of a limit and may lend from it.
///
/// A new lender waits until the former lender must know of the change, so
/// that the two do not lend the same tokens. Reads no clock: readings of a
/// monotonic clock are arguments.
class LenderStatus {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param hand_over  maximum time until all instances know of a change
  explicit LenderStatus(Milliseconds hand_over)
      : m_hand_over_delay(hand_over) {}

  /// Sets whether this instance is a lender of the limit.
  /// @param inherits  this process replaces a process of the same node that was
  ///                  the lender until now, so that it may lend immediately
  void Update(bool is_lender, bool inherits, Time now) {
    if (!is_lender) {
      m_lender_since.reset();
    } else if (!m_lender_since) {
      m_lender_since = inherits ? now - m_hand_over_delay : now;
    }
  }
  bool IsLender() const { return m_lender_since.has_value(); }
  bool MayLend(Time now) const {
    return m_lender_since && now - *m_lender_since >= m_hand_over_delay;
  }

 private:
  Milliseconds m_hand_over_delay;
  std::optional<Time> m_lender_since;
};

/// Grants the requests of one instance within its share of each limit.
///
/// Each workspace has a token bucket at each instance. If the bucket does not
/// cover the cost of a request, the remainder may be borrowed from a lender of
/// the limit (QuotaPool). Borrowing only transfers tokens, so instances
/// need no agreement.
///
/// Reads no clock: readings of a monotonic clock are arguments.
/// Single-threaded.
class QuotaLimiter {
 public:
  using Time = std::chrono::nanoseconds;

  explicit QuotaLimiter(QuotaTolerance tolerance) : m_tolerance(tolerance) {}

  /// @param share  fraction of the limit that this instance grants
  void SetShare(const WorkspaceId& workspace, double share);

  /// Takes as much of a request's cost from the bucket as available, and
  /// records the demand.
  /// @return the missing amount; zero when the cost is covered
  double Reserve(const Workspace& workspace, double cost, Time now);
  /// Returns the amount reserved for a request that was not granted.
  void Refund(const Workspace& workspace, double amount);

  /// Takes a request's cost when no lender is reachable. A fifth of the cost,
  /// or of the bucket's capacity if that is smaller, must be available; the
  /// bucket goes into debt for the rest. Does not record demand, which
  /// Reserve() has done.
  /// @return zero when granted, else the time until it could be granted
  Milliseconds TakeWithDebt(const Workspace& workspace, double cost, Time now);

  /// Moving average of each workspace's demand, in cost per second.
  std::map<WorkspaceId, double> Demand(Time now);

 private:
  struct Bucket {
    double share = 0.001;  ///< until SetShare() is called
    double level = 0;
    bool filled = false;
    Time updated{0};
    double demand = 0;  ///< moving average, per second
    Time demand_updated{0};
    Time demand_since{0};
  };

  double Capacity(const Bucket& bucket, const Workspace& workspace) const;
  void Refill(Bucket& bucket, const Workspace& workspace, Time now) const;
  static void Decay(Bucket& bucket, Time now);

  QuotaTolerance m_tolerance;
  std::map<WorkspaceId, Bucket> m_buckets;
};

/// The pooled fractions of the limits of which this instance is a lender. Each
/// is a token bucket.
///
/// Reads no clock: readings of a monotonic clock are arguments.
/// Single-threaded.
class QuotaPool {
 public:
  using Time = std::chrono::nanoseconds;

  explicit QuotaPool(QuotaTolerance tolerance) : m_tolerance(tolerance) {}

  /// Sets the fraction of a limit that this instance lends. A new pool starts
  /// empty.
  /// @param share  zero if this instance is not a lender of the limit
  void SetShare(const WorkspaceId& workspace, double share, Time now);

  /// Lends an amount. A fifth of it, or of the pool's capacity if that is
  /// smaller, must be available. The pool goes into debt for the rest, so that
  /// small requests do not starve a large one.
  /// @return zero when lent, else the time until it could be lent; nothing when
  ///         this instance is not a lender of the limit
  std::optional<Milliseconds> Lend(const Workspace& workspace, double amount,
                                   Time now);

 private:
  struct Pool {
    double share = 0;
    double level = 0;
    Time updated{0};
  };

  QuotaTolerance m_tolerance;
  std::map<WorkspaceId, Pool> m_pools;
};

/// Selects the lenders of a limit. The result depends only on the
/// arguments, so instances that know of the same instances agree.
/// @return kLendersPerLimit instances, or none when there are fewer instances
std::vector<NodeId> QuotaLenders(const WorkspaceId& workspace,
                                 const std::vector<NodeId>& instances);

}  // namespace cowslipknot::gateway
