#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cowslipknot/ids.h"
#include "cowslipknot/store_position.h"

namespace cowslipknot {

/// Bits of an epoch that hold the version: 2^44 transactions at the 3,200 a
/// second of the largest published store last for 170 years. The first 512 eras
/// stay below 2^53, up to which every JSON reader is exact.
inline constexpr unsigned kEpochVersionBits = 44;

/// The epoch of a lease that was acquired by the transaction at a position of
/// the store. Rises with the positions, so that no epoch is used a second time,
/// even if a restore lost all that was known about the last one.
constexpr Epoch EpochAt(const StorePosition& acquired) {
  return Epoch((acquired.era.Count() << kEpochVersionBits) +
               acquired.version.Count());
}

/// The row that stores a lease in the table service.
struct LeaseRow {
  NodeId holder;  ///< empty when the lease is released
  Epoch epoch;    ///< 0: the lease was acquired at the position of this row
  std::uint64_t renewal = 0;  ///< incremented by each write
  StoreEra era;               ///< as known to the writer; 0 in the first format
  std::uint64_t process = 0;  ///< distinguishes processes of one node
  bool operator==(const LeaseRow&) const = default;
};

std::string EncodeLease(const LeaseRow& row);
std::optional<LeaseRow> DecodeLease(const std::string& text);

/// Whether a row was written in the era in which it was read. Any other row is
/// a leftover of a copy of the store: the holder that it names may have been
/// replaced since by one that still acts.
inline bool IsCurrent(const LeaseRow& row, const StorePosition& position) {
  return row.era == position.era;
}

/// The epoch of the holder that a row names.
/// @param position  of the row, as read
/// @return nothing for a leftover row that does not state it
std::optional<Epoch> EpochOf(const LeaseRow& row,
                             const StorePosition& position);

/// What one instance knows about a lease, and what that permits it to do.
///
/// Does not read a clock: readings of the local monotonic clock are arguments,
/// and no decision depends on the clock of another instance. As a margin,
/// the holder stops acting before its lease expires, while other instances wait
/// longer than the lease lasts before they take it. A restore of the store
/// proves nothing about the holder: it acts on until its lease expires, and the
/// others wait as long as for a holder that they have just seen.
class LeaseView {
 public:
  using Time = std::chrono::steady_clock::time_point;

  LeaseView(NodeId self, Milliseconds duration, std::uint64_t process = 0)
      : m_self(std::move(self)), m_duration(duration), m_process(process) {}

  /// Records the row as read from the table, with its position. A row that
  /// equals the one recorded by RecordSent() is a write of this instance whose
  /// response was lost.
  /// @param row       empty when the table has no such row
  /// @param position  of the row; of an absent row, the era with version 0
  void Observe(const std::optional<LeaseRow>& row,
               const StorePosition& position, Time now);

  /// Records a write that is being sent.
  /// @param sent  clock reading taken before the write was sent
  void RecordSent(const LeaseRow& row, Time sent);
  /// Records that the write sent at a time was refused, and not performed.
  void RecordRefused(Time sent);
  /// Records that a write of this instance took effect.
  /// @param sent  clock reading taken before the write was sent
  void RecordOwnWrite(const LeaseRow& row, const StorePosition& position,
                      Time sent);

  /// Whether the lease is held with a safety margin, so that an action that
  /// requires it may start now.
  bool MayAct(Time now) const { return TimeToAct(now).count() > 0; }
  /// How long that lasts; zero if the lease is not held.
  std::chrono::nanoseconds TimeToAct(Time now) const;
  /// Whether the lease may be taken: what the table holds has not changed for
  /// longer than the lease lasts, or it has held no row since it was created.
  /// False until the table has been read.
  bool MayAcquire(Time now) const;
  /// Whether the holder should write the lease, also because a restore of the
  /// store lost its row.
  bool ShouldRenew(Time now) const;
  /// Whether the last holder has released the lease.
  bool IsReleased() const { return HasCurrentRow() && m_row->holder.Empty(); }
  /// Whether the row names this instance as the holder, but comes from no
  /// confirmed write of this process.
  bool IsHeldByPredecessor() const {
    return HasCurrentRow() && m_row->holder == m_self && !m_written_here;
  }

  /// The row to write to release the lease, after which this instance must not
  /// act.
  LeaseRow ReleasedRow() const;
  /// The row to write to take or renew the lease.
  LeaseRow NextRow() const;
  /// Ends this instance's hold before it writes ReleasedRow().
  void StopActing() { m_renewed.reset(); }

  const StorePosition& Position() const { return m_position; }
  /// The epoch of the holder; 0 if it is unknown.
  Epoch CurrentEpoch() const { return m_epoch; }
  /// While this instance holds the lease, the epoch with which its hold began.
  /// After a restore of the store the holder goes on with another epoch.
  Epoch FirstEpochOfHold() const { return m_first_epoch; }

 private:
  struct SentRow {
    LeaseRow row;
    Time sent{};  ///< first time that this row was sent
  };

  bool HasCurrentRow() const { return m_row && IsCurrent(*m_row, m_position); }

  NodeId m_self;
  Milliseconds m_duration;
  std::uint64_t m_process;
  std::optional<LeaseRow> m_row;
  StorePosition m_position;
  bool m_observed = false;
  Time m_row_seen{};  ///< when the current row or its absence was first read
  /// When the last confirmed own write was sent; nothing once another
  /// instance's write has been seen.
  std::optional<Time> m_renewed;
  Epoch m_epoch;
  Epoch m_first_epoch;
  bool m_written_here = false;  ///< this process wrote the current row
  std::optional<SentRow> m_sent;
};

}  // namespace cowslipknot
