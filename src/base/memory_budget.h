#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "cowslipknot/ids.h"

/// Bounds the received data that a process holds, whoever sent it.
namespace cowslipknot {

/// What all buffers of a process may hold together. Thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(ByteCount limit) : m_limit(limit.Count()) {}

  /// @return false, with nothing taken, if less than `bytes` are left
  bool TryTake(std::uint64_t bytes) {
    std::uint64_t used = m_used.load();
    do {
      if (bytes > m_limit - used) return false;
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    return true;
  }
  void Return(std::uint64_t bytes) { m_used -= bytes; }
  ByteCount Used() const { return ByteCount(m_used.load()); }

 private:
  const std::uint64_t m_limit;
  std::atomic<std::uint64_t> m_used{0};
};

/// One buffer's part of a budget, returned with the object.
///
/// A buffer of ordinary size takes nothing, so that large ones cannot keep it
/// from being used. The number of connections bounds what such buffers hold.
class MemoryReservation {
 public:
  static constexpr std::uint64_t kOrdinaryBytes = 16 << 10;

  /// @param budget  null for a buffer without a bound
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget)
      : m_budget(std::move(budget)) {}
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { Resize(0); }

  /// Adjusts the reservation to the size of its buffer.
  /// @return false, with nothing changed, if the budget does not suffice
  bool Resize(std::uint64_t bytes) {
    if (!m_budget) return true;
    const std::uint64_t wanted =
        bytes > kOrdinaryBytes ? bytes - kOrdinaryBytes : 0;
    if (wanted > m_taken && !m_budget->TryTake(wanted - m_taken)) return false;
    if (wanted < m_taken) m_budget->Return(m_taken - wanted);
    m_taken = wanted;
    return true;
  }

 private:
  std::shared_ptr<MemoryBudget> m_budget;
  std::uint64_t m_taken = 0;
};

}  // namespace cowslipknot
