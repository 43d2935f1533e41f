#pragma once

#include "coordination/row_writer.h"
#include "cowslipknot/state/claim.h"

namespace cowslipknot {

/// A claim as stored in the table, and what the caller may do.
struct StoredClaim {
  ClaimDecision decision = ClaimDecision::kWait;
  Claim row;
  std::uint64_t version = 0;  ///< row version
};

/// Stores the claims that ensure at-most-once execution of requests. Runs on
/// the control thread.
class ClaimWriter {
 public:
  ClaimWriter(asio::any_io_executor executor, PlatformClient& platform,
              RowWriter& rows)
      : m_executor(std::move(executor)), m_platform(platform), m_rows(rows) {}

  /// Inserts a claim, or reads the claim that already exists for its key.
  ///
  /// @return kPlatformUnavailable, with the request not run, when the insert's
  ///         result is not known by the deadline. If the row turns out to have
  ///         been inserted, it is deleted in the background.
  Awaitable<Result<StoredClaim>> Acquire(
      Claim wanted, std::chrono::steady_clock::time_point deadline);

  /// Replaces a claim held by this instance with the request's outcome. The
  /// response body is dropped if the claim could not be decoded with it.
  Awaitable<void> Record(Claim outcome, std::uint64_t version);

  /// Deletes a claim held by this instance. Only allowed if no byte of the
  /// request was sent.
  Awaitable<void> Release(Claim claim, std::uint64_t version);

  /// Reads the claim of a key.
  /// @return nothing if there is no claim or it is malformed
  Awaitable<Result<std::optional<Claim>>> Read(std::string key);

 private:
  /// Deletes a claim whose insertion has an unknown outcome. Polls until
  /// the row appears, enough reads have found none or a timeout has passed.
  /// Leaves a row of another claim in place.
  Awaitable<void> ReleaseIfInserted(Claim claim);

  asio::any_io_executor m_executor;
  PlatformClient& m_platform;
  RowWriter& m_rows;
};

}  // namespace cowslipknot
