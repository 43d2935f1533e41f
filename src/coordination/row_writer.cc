#include "coordination/row_writer.h"

#include <algorithm>
#include <set>

#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxRowsPerTransaction = 64;
constexpr Milliseconds kRetryDelay(50);
/// Time beyond its deadline until a write without an outcome is given up.
constexpr Milliseconds kOverdue(5000);

}  // namespace

struct RowWriter::Pending {
  Pending(const asio::any_io_executor& executor, RowChange wanted,
          Clock::time_point until)
      : change(std::move(wanted)), deadline(until), done(executor) {
    done.expires_at(deadline + kOverdue);
  }
  RowChange change;
  Clock::time_point deadline;
  std::optional<Result<RowOutcome>> outcome;
  asio::steady_timer done;
};

void RowWriter::Resolve(Pending& pending, Result<RowOutcome> outcome) {
  pending.outcome = std::move(outcome);
  pending.done.cancel();
}

void RowWriter::Enqueue(const PendingPtr& pending) {
  m_queue.push_back(pending);
  if (m_flushing) return;
  StartFlush();
}

void RowWriter::StartFlush() {
  m_flushing = true;
  Spawn(m_executor, "flush rows", Flush(), [this] {
    m_flushing = false;
    if (!m_queue.empty()) StartFlush();
  });
}

void RowWriter::StartReading(const PendingPtr& pending) {
  if (pending->outcome) return;
  Spawn(m_executor, "read row", ResolveByReading(pending), [pending] {
    Resolve(*pending, Fail(ResultCode::kPlatformUnavailable,
                           "the outcome could not be read"));
  });
}

Awaitable<Result<RowOutcome>> RowWriter::Write(RowChange change,
                                               Clock::time_point deadline) {
  auto pending =
      std::make_shared<Pending>(m_executor, std::move(change), deadline);
  Enqueue(pending);
  ++m_outstanding;
  while (!pending->outcome && Clock::now() < deadline + kOverdue)
    co_await pending->done.async_wait(kAsTuple);
  --m_outstanding;
  if (!pending->outcome)
    Resolve(*pending, Fail(ResultCode::kPlatformUnavailable,
                           "the outcome is not known in time"));
  co_return *pending->outcome;
}

std::vector<RowWriter::PendingPtr> RowWriter::TakeBatch() {
  std::vector<PendingPtr> batch;
  std::deque<PendingPtr> later;
  std::set<std::string> keys;
  while (!m_queue.empty() && batch.size() < kMaxRowsPerTransaction) {
    PendingPtr pending = std::move(m_queue.front());
    m_queue.pop_front();
    // A transaction checks its conditions before it applies any write, so
    // two writes of the same key in one transaction would both be applied.
    if (keys.insert(pending->change.key).second) {
      batch.push_back(std::move(pending));
    } else {
      later.push_back(std::move(pending));
    }
  }
  m_queue.insert(m_queue.begin(), later.begin(), later.end());
  return batch;
}

Awaitable<void> RowWriter::Flush() {
  while (!m_queue.empty()) {
    co_await SleepFor(m_batch_delay);
    std::vector<PendingPtr> batch = TakeBatch();
    Spawn(m_executor, "write rows", WriteBatch(batch), [this, batch] {
      for (const auto& pending : batch) StartReading(pending);
    });
  }
  m_flushing = false;
}

Awaitable<void> RowWriter::WriteBatch(std::vector<PendingPtr> batch) {
  while (!batch.empty()) {
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    for (const auto& pending : batch) {
      conditions.push_back(
          {pending->change.key, pending->change.expected_version});
      writes.push_back({pending->change.key, pending->change.value});
    }
    auto reply =
        co_await m_platform.Transact(std::move(conditions), std::move(writes));
    if (!reply || (!reply->committed && reply->conflicts.empty())) break;
    if (reply->committed) {
      for (const auto& pending : batch) {
        TableRow row{reply->version, pending->change.value.value_or("")};
        Resolve(*pending, RowOutcome{true, std::move(row)});
      }
      co_return;
    }
    std::vector<PendingPtr> rest;
    for (const auto& pending : batch) {
      const bool conflict =
          std::find(reply->conflicts.begin(), reply->conflicts.end(),
                    pending->change.key) != reply->conflicts.end();
      if (conflict) {
        StartReading(pending);
      } else {
        rest.push_back(pending);
      }
    }
    batch = std::move(rest);
  }
  for (const auto& pending : batch) {
    StartReading(pending);
  }
}

Awaitable<void> RowWriter::ResolveByReading(PendingPtr pending) {
  while (Clock::now() < pending->deadline) {
    auto row = co_await m_platform.Read(pending->change.key);
    if (!row) {
      co_await SleepFor(kRetryDelay);
      continue;
    }
    const bool deleted = !pending->change.value && row->version == 0;
    const bool written =
        pending->change.value && row->value == *pending->change.value;
    if (deleted || written) {
      Resolve(*pending, RowOutcome{true, *row});
      co_return;
    }
    if (row->version != pending->change.expected_version) {
      Resolve(*pending, RowOutcome{false, *row});
      co_return;
    }
    Enqueue(pending);
    co_return;
  }
  Resolve(*pending, Fail(ResultCode::kPlatformUnavailable,
                         "the platform did not respond by the deadline",
                         Execution::kNotRun));
}

}  // namespace cowslipknot
