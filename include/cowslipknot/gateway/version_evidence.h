#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/ids.h"

/// Evidence for moves, collected by one instance from its attempts.
namespace cowslipknot::gateway {

/// Recent values of one quantity at the servers in use before a move. A value
/// several times the median counts as slow.
class LatencyBaseline {
 public:
  void Record(double value);
  /// The largest value that is not slow; infinite while too few values are
  /// known.
  double SlowLimit() const { return m_slow_limit; }

 private:
  std::vector<double> m_recent;  ///< ring buffer
  std::size_t m_next = 0;
  double m_slow_limit = std::numeric_limits<double>::infinity();
};

/// An attempt, when it is sent to a server.
struct SentAttempt {
  MoveId move;  ///< key of the evidence; empty without an undecided move
  ServiceId service;
  RouteId route;
  bool is_new = false;  ///< sent to the version that is being introduced
  TokenCount work;      ///< prompt tokens computed before the first event
};

/// Compares the attempts at the new version of each move with those at the old
/// one, as they progress: an attempt counts as slow as soon as it takes several
/// times longer than is usual at the old version, also while it still runs.
///
/// The usual times are those of attempts at versions that are not being
/// introduced. Reads no clock: the time is an argument. Single-threaded.
class VersionEvidence {
 public:
  using Time = std::chrono::nanoseconds;
  /// Evidence by key of the move.
  using ByMove = std::map<MoveId, MoveEvidence>;

  /// Records that an attempt was sent. @return identifies the attempt
  std::uint64_t OnSent(const SentAttempt& attempt, Time now);
  /// Records the number of events received so far.
  void OnEvents(std::uint64_t attempt, std::uint64_t events, Time now);
  /// Records the result of an attempt that the server executed. A response
  /// without events counts as one event.
  void OnEnd(std::uint64_t attempt, bool failed, Time now);
  /// Ends an attempt without a result, unless it has one. It still counts as
  /// slow if it was overdue, since its caller may have left because of that.
  void Forget(std::uint64_t attempt, Time now);

  /// Returns the evidence so far, including attempts that are overdue now.
  const ByMove& Collect(Time now);

 private:
  struct Running {
    SentAttempt sent;
    Time sent_at{0};
    Time first_event_at{0};
    Time last_event_at{0};
    std::uint64_t events = 0;
    bool is_slowness_known = false;
    std::uint64_t Gaps() const { return events == 0 ? 0 : events - 1; }
  };
  /// Usual times of one route at one service.
  struct RouteBaselines {
    LatencyBaseline first_event;  ///< relative to the expected time
    LatencyBaseline event_gap;    ///< in milliseconds
  };

  RouteBaselines& BaselinesOf(const Running& attempt);
  bool IsOverdue(const Running& attempt, Time now);
  void RecordFirstEvent(Running& attempt, Time now);
  /// Compares the mean gap between the events so far with the usual one.
  void JudgePace(Running& attempt);
  void RecordSlowness(Running& attempt, bool slow);

  std::uint64_t m_sent = 0;  ///< attempts sent; the latest identifier
  std::map<std::uint64_t, Running> m_running;
  std::map<std::pair<ServiceId, RouteId>, RouteBaselines> m_baselines;
  ByMove m_evidence;
};

}  // namespace cowslipknot::gateway
