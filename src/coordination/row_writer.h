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
  std::uint64_t expected = 0;  ///< version that the row must have
  std::optional<std::string> value;
};

struct RowOutcome {
  bool applied = false;
  TableRow current;  ///< the row as it stands
};

/// Writes rows in shared transactions and finds out what became of writes
/// whose answer was lost.
///
/// Values must be unique to their writer, since a row that holds the wanted
/// value is taken for the writer's own. Single-threaded.
class RowWriter {
 public:
  /// @param gather  how long a write waits for others to share a transaction
  RowWriter(asio::any_io_executor executor, PlatformClient& platform,
            Milliseconds gather)
      : m_executor(std::move(executor)),
        m_platform(platform),
        m_gather(gather) {}

  /// @return what became of the write, or kPlatformUnavailable when that could
  ///         not be learned by the deadline; then it may still take effect
  Awaitable<Result<RowOutcome>> Write(
      RowChange change, std::chrono::steady_clock::time_point deadline);

  /// Writes whose outcome is not known yet.
  std::size_t Outstanding() const { return m_outstanding; }

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void Enqueue(const PendingPtr& pending);
  /// Takes the next writes that may share a transaction.
  std::vector<PendingPtr> TakeGroup();
  Awaitable<void> Flush();
  Awaitable<void> WriteTogether(std::vector<PendingPtr> group);
  Awaitable<void> ReadBack(PendingPtr pending);
  static void Resolve(Pending& pending, Result<RowOutcome> outcome);

  asio::any_io_executor m_executor;
  PlatformClient& m_platform;
  Milliseconds m_gather;
  std::deque<PendingPtr> m_queue;
  std::size_t m_outstanding = 0;
  bool m_flushing = false;
};

}  // namespace cowslipknot
