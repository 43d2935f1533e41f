#include "coordination/claim_writer.h"

#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::minutes kWriteTimeout(10);
constexpr Milliseconds kReleasePollInterval(1000);
/// Number of reads that must find no row before an insert without a response is
/// assumed not to have been applied.
constexpr int kMaxAbsentReads = 30;

}  // namespace

Awaitable<Result<StoredClaim>> ClaimWriter::Acquire(
    Claim wanted, Clock::time_point deadline) {
  RowChange change{wanted.key, 0, EncodeClaim(wanted)};
  auto outcome = co_await m_rows.Write(std::move(change), deadline);
  if (!outcome) {
    Spawn(m_executor, "release claim", ReleaseIfInserted(std::move(wanted)));
    co_return tl::make_unexpected(outcome.error());
  }
  StoredClaim stored;
  stored.version = outcome->current.version;
  if (outcome->applied) {
    stored.decision = ClaimDecision::kRun;
    stored.row = std::move(wanted);
    co_return stored;
  }
  auto found = DecodeClaim(wanted.key, outcome->current.value);
  if (!found) {
    co_return Fail(ResultCode::kPlatformUnavailable,
                   "the stored claim cannot be decoded");
  }
  stored.decision = DecideClaim(*found, wanted);
  stored.row = std::move(*found);
  co_return stored;
}

Awaitable<void> ClaimWriter::Record(Claim outcome, std::uint64_t version) {
  std::string encoded = EncodeClaim(outcome);
  if (!DecodeClaim(outcome.key, encoded)) {
    outcome.body.clear();
    outcome.body_kept = false;
    encoded = EncodeClaim(outcome);
  }
  RowChange change{outcome.key, version, std::move(encoded)};
  co_await m_rows.Write(std::move(change), Clock::now() + kWriteTimeout);
}

Awaitable<void> ClaimWriter::Release(Claim claim, std::uint64_t version) {
  RowChange change{claim.key, version, std::nullopt};
  co_await m_rows.Write(std::move(change), Clock::now() + kWriteTimeout);
}

Awaitable<Result<std::optional<Claim>>> ClaimWriter::Read(std::string key) {
  auto row = co_await m_platform.Read(key);
  if (!row) co_return tl::make_unexpected(row.error());
  if (row->version == 0) co_return std::nullopt;
  co_return DecodeClaim(key, row->value);
}

Awaitable<void> ClaimWriter::ReleaseIfInserted(Claim claim) {
  const auto give_up = Clock::now() + kWriteTimeout;
  int absent = 0;
  while (Clock::now() < give_up && absent < kMaxAbsentReads) {
    co_await SleepFor(kReleasePollInterval);
    auto row = co_await m_platform.Read(claim.key);
    if (!row) continue;
    if (row->version == 0) {
      ++absent;
      continue;
    }
    const auto found = DecodeClaim(claim.key, row->value);
    const bool own = found && found->token == claim.token;
    if (own) co_await Release(claim, row->version);
    co_return;
  }
}

}  // namespace cowslipknot
