#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cowslipknot/ids.h"

namespace cowslipknot {

/// The row of a lease in the table service.
struct LeaseRow {
  NodeId holder;
  Epoch epoch;
  std::uint64_t renewal = 0;
  bool operator==(const LeaseRow&) const = default;
};

std::string EncodeLease(const LeaseRow& row);
std::optional<LeaseRow> DecodeLease(const std::string& text);

/// What one instance may conclude about a lease. Pure: readings of a monotonic
/// clock are arguments, and no instance trusts another's clock.
class LeaseView {
 public:
  using Time = std::chrono::steady_clock::time_point;

  LeaseView(NodeId self, Milliseconds duration)
      : m_self(std::move(self)), m_duration(duration) {}

  /// Notes a row as read, with its table version.
  void Observe(const std::optional<LeaseRow>& row, std::uint64_t version,
               Time now);

  /// Notes that this instance's own write took effect.
  /// @param sent  reading before the write was sent
  void NoteOwnWrite(const LeaseRow& row, std::uint64_t version, Time sent);

  /// Whether an effect may start now: the lease is held, with a margin.
  bool MayAct(Time now) const;
  /// Whether the holder has been silent for longer than its lease.
  bool MayTake(Time now) const;
  bool ShouldRenew(Time now) const;
  /// Whether the holder has given the lease up.
  bool IsReleased() const { return m_row && m_row->holder.Empty(); }
  /// Whether the row names this instance, though not by a write of this
  /// process that is known to have taken effect.
  bool IsOfFormerProcess() const { return IsOwn() && !m_own_write; }
  /// The row to write in order to give the lease up.
  LeaseRow ReleasedRow() const;

  /// The row to write in order to take or renew the lease.
  LeaseRow NextRow() const;
  std::uint64_t Version() const { return m_version; }
  Epoch CurrentEpoch() const { return m_row ? m_row->epoch : Epoch(0); }

 private:
  bool IsOwn() const { return m_row && m_row->holder == m_self; }

  NodeId m_self;
  Milliseconds m_duration;
  std::optional<LeaseRow> m_row;
  std::uint64_t m_version = 0;
  bool m_observed = false;
  Time m_changed{};          ///< when a row of this version was first seen
  Time m_held_since{};       ///< start of the own write last known to hold
  bool m_own_write = false;  ///< the row was written by this process
};

}  // namespace cowslipknot
