#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "protocol/platform_client.h"

namespace cowslipknot {

/// One conditional write of one row.
struct RowChange {
  std::string key;
  std::uint64_t expected_version = 0;  ///< required row version; 0 if absent
  std::optional<std::string> value;    ///< empty to delete the row
};

struct RowOutcome {
  bool applied = false;
  TableRow current;  ///< the row after the write, or the conflicting row
};

/// Batches row writes into transactions and resolves the outcome of writes
/// whose response was lost.
///
/// The outcome is resolved by reading the row back. Values must therefore be
/// unique to their writer: a row with the value to write is assumed to be the
/// writer's own. Single-threaded.
class RowWriter {
 public:
  /// @param batch_delay  how long writes are collected for a shared transaction
  RowWriter(asio::any_io_executor executor, PlatformClient& platform,
            Milliseconds batch_delay)
      : m_executor(std::move(executor)),
        m_platform(platform),
        m_batch_delay(batch_delay) {}

  /// Writes a row if it has the expected version.
  /// @return the outcome, or kPlatformUnavailable when it could not be
  ///         determined by the deadline; the write may then still take effect
  Awaitable<Result<RowOutcome>> Write(
      RowChange change, std::chrono::steady_clock::time_point deadline);

  /// Number of writes in flight.
  std::size_t InFlight() const { return m_outstanding; }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void Enqueue(const PendingPtr& pending);
  /// Removes the next writes that may share a transaction from the queue.
  std::vector<PendingPtr> TakeBatch();
  void StartFlush();
  /// Resolves the outcome of a write whose response was lost.
  void StartReading(const PendingPtr& pending);
  Awaitable<void> Flush();
  Awaitable<void> WriteBatch(std::vector<PendingPtr> batch);
  Awaitable<void> ResolveByReading(PendingPtr pending);
  static void Resolve(Pending& pending, Result<RowOutcome> outcome);

  asio::any_io_executor m_executor;
  PlatformClient& m_platform;
  Milliseconds m_batch_delay;
  std::deque<PendingPtr> m_queue;
  std::size_t m_outstanding = 0;
  bool m_flushing = false;
};

}  // namespace cowslipknot
