#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "cowslipknot/coordination/server_limit.h"
#include "cowslipknot/ids.h"

/// Tells which process of a server gave an answer.
///
/// A server may start again at its address. Answers of the new process arrive
/// before its registration is read, when only the former process is known.
namespace cowslipknot::gateway {

/// Readings of a monotonic clock.
struct AnswerTimes {
  using Time = std::chrono::nanoseconds;

  Time opened{0};  ///< when the answer's connection was opened
  Time sent{0};    ///< when the request was sent
  Time read{0};    ///< when the answer's header, or first event, was read
};

/// What one answer said or showed of its server.
struct ProcessNotice {
  AnswerTimes times;
  std::optional<AnswerTimes::Time> paused_until;
  std::optional<LimitStatement> limit;
  bool is_leaving = false;
  std::optional<double> excess_wait_ms;  ///< beyond the predicted time
};

/// The latest notices of a listed process, some of which may be those of the
/// next process at its address.
///
/// Connections show most: they end with their process. An answer is of the next
/// process if its connection was opened after a connection that the server
/// ended unannounced, and has not ended so itself. Clocks of servers and
/// instances may differ, so the start time of the next process decides only
/// without such evidence, or clearly against it.
///
/// Reads no clock. Single-threaded.
class ProcessNotices {
 public:
  using Time = AnswerTimes::Time;

  /// @param listed  when the process was first listed
  explicit ProcessNotices(Time listed) : m_listed(listed) {}

  /// Records that the server ended a connection unannounced, or accepts none.
  /// @param opened  when the connection was opened, or refused
  void RecordLost(Time opened);
  /// Keeps a notice, if it says anything.
  void Add(const ProcessNotice& notice);

  /// Whether an answer is of the next process.
  /// @param started  its start, by this instance's clock
  /// @param now      when it is listed, or later
  bool IsOfNext(const AnswerTimes& times, Time started, Time now) const;
  /// The notices of the next process, each kind in the order of addition.
  std::vector<ProcessNotice> OfNext(Time started, Time now) const;

  std::size_t Size() const { return m_statements.size() + m_waits.size(); }

 private:
  bool IsWorthKeeping(const ProcessNotice& notice) const;

  Time m_listed;
  /// The latest opening of a connection that was lost.
  std::optional<Time> m_lost_opened;
  std::deque<ProcessNotice> m_statements;
  std::deque<ProcessNotice> m_waits;  ///< frequent, so that they are kept apart
};

}  // namespace cowslipknot::gateway
