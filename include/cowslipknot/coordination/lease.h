#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

namespace cowslipknot {

/// The row that stores a lease in the table service.
struct LeaseRow {
  NodeId holder;              ///< empty when the lease is released
  Epoch epoch;                ///< fencing token; increases with each new holder
  std::uint64_t renewal = 0;  ///< incremented by each write
  bool operator==(const LeaseRow&) const = default;
};

std::string EncodeLease(const LeaseRow& row);
std::optional<LeaseRow> DecodeLease(const std::string& text);

/// What one instance knows about a lease, and what that permits it to do.
///
/// Does not read a clock: readings of the local monotonic clock are arguments,
/// and no decision depends on the clock of another instance. As a margin,
/// the holder stops acting before its lease expires, while other instances wait
/// longer than the lease lasts before they take it.
class LeaseView {
 public:
  using Time = std::chrono::steady_clock::time_point;

  LeaseView(NodeId self, Milliseconds duration)
      : m_self(std::move(self)), m_duration(duration) {}

  /// Records the row as read from the table, with its position.
  /// @param row  empty when the table has no such row
  void Observe(const std::optional<LeaseRow>& row,
               const StorePosition& position, Time now);

  /// Records that a write of this instance took effect.
  /// @param sent  clock reading taken before the write was sent
  void RecordOwnWrite(const LeaseRow& row, const StorePosition& position,
                      Time sent);

  /// Whether the lease is held with a safety margin, so that an action that
  /// requires it may start now.
  bool MayAct(Time now) const;
  /// Whether the lease may be taken: the row has not changed for longer than
  /// the lease lasts, or does not exist. False until the table has been read.
  bool MayAcquire(Time now) const;
  bool ShouldRenew(Time now) const;
  /// Whether the last holder has released the lease.
  bool IsReleased() const { return m_row && m_row->holder.Empty(); }
  /// Whether the row names this instance as the holder, but comes from no
  /// confirmed write of this process.
  bool IsHeldByPredecessor() const {
    return IsNamedHolder() && !m_written_here;
  }
  /// The row to write to release the lease. Its epoch is not lower
  /// than the current one.
  LeaseRow ReleasedRow() const;

  /// The row to write to take or renew the lease.
  LeaseRow NextRow() const;
  const StorePosition& Position() const { return m_position; }
  Epoch CurrentEpoch() const { return m_row ? m_row->epoch : Epoch(0); }

 private:
  bool IsNamedHolder() const { return m_row && m_row->holder == m_self; }

  NodeId m_self;
  Milliseconds m_duration;
  std::optional<LeaseRow> m_row;
  StorePosition m_position;
  bool m_observed = false;
  Time m_row_seen{};            ///< when the current row was first read
  Time m_renewed{};             ///< when the last confirmed own write was sent
  bool m_written_here = false;  ///< this process wrote the current row
};

}  // namespace cowslipknot
