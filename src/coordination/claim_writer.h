#pragma once

#include "coordination/row_writer.h"
#include "cowslipknot/state/claim.h"

namespace cowslipknot {

/// A claim and the row version that holds it.
struct HeldClaim {
  ClaimAnswer answer = ClaimAnswer::kWait;
  Claim row;  ///< as found
  std::uint64_t version = 0;
};

/// Claims requests that may run at most once. Runs on the control thread.
class ClaimWriter {
 public:
  ClaimWriter(asio::any_io_executor executor, PlatformClient& platform,
              RowWriter& rows)
      : m_executor(std::move(executor)), m_platform(platform), m_rows(rows) {}

  /// Inserts a claim, or reads whose it is.
  ///
  /// @return kPlatformUnavailable, not run, when that cannot be learned by
  ///         the deadline; the row is then released once it can be
  Awaitable<Result<HeldClaim>> Take(
      Claim wanted, std::chrono::steady_clock::time_point deadline);

  /// Replaces an own claim by its outcome.
  Awaitable<void> Record(Claim outcome, std::uint64_t version);

  /// Deletes an own claim none of whose bytes were sent.
  Awaitable<void> Release(Claim claim, std::uint64_t version);

  /// Reads the claim of a key.
  Awaitable<Result<std::optional<Claim>>> Find(std::string key);

 private:
  Awaitable<void> ReleaseLater(Claim claim);

  asio::any_io_executor m_executor;
  PlatformClient& m_platform;
  RowWriter& m_rows;
};

}  // namespace cowslipknot
