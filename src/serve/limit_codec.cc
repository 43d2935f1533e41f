#include "serve/limit_codec.h"

#include <chrono>
#include <cmath>

namespace cowslipknot {
namespace {

using std::chrono::microseconds;

/// Sums with clock readings in nanoseconds stay in range.
constexpr microseconds kMaxAge = std::chrono::days(365);
constexpr Milliseconds kMaxColdTime = std::chrono::hours(1);

/// @param moment  zero if there was none, which is older than any other
std::uint64_t AgeOf(LimitStatement::Time moment, LimitStatement::Time now) {
  if (moment.count() == 0) return static_cast<std::uint64_t>(kMaxAge.count());
  const auto age = std::chrono::duration_cast<microseconds>(now - moment);
  return static_cast<std::uint64_t>(
      std::clamp(age, microseconds(0), kMaxAge).count());
}

}  // namespace

std::unique_ptr<wire::LimitStatementT> PackLimit(
    const ServerBoot& start, const LimitStatement& statement,
    LimitStatement::Time now, LimitStatement::Time cold_until) {
  auto packed = std::make_unique<wire::LimitStatementT>();
  packed->server = start.server.Text();
  packed->started_ms = start.started_ms;
  packed->limited = statement.limit.has_value();
  packed->per_s = statement.limit.value_or(RequestRate(0)).Count();
  packed->sent_age_us = AgeOf(statement.sent, now);
  packed->read_age_us = AgeOf(statement.read, now);
  // Rounded up, so that the server never counts as warm too early.
  const auto cold_left = std::chrono::ceil<Milliseconds>(cold_until - now);
  packed->cold_left_ms = static_cast<std::uint32_t>(
      std::clamp(cold_left, Milliseconds(0), kMaxColdTime).count());
  return packed;
}

Result<ReceivedLimit> UnpackLimit(const wire::LimitStatementT& packed,
                                  LimitStatement::Time now) {
  const auto max_age = static_cast<std::uint64_t>(kMaxAge.count());
  const bool is_in_range =
      !packed.server.empty() && std::isfinite(packed.per_s) &&
      packed.per_s >= 0 && packed.per_s <= kMaxServerLimit.Count() &&
      packed.cold_left_ms <= kMaxColdTime.count() &&
      packed.sent_age_us <= max_age && packed.read_age_us <= packed.sent_age_us;
  if (!is_in_range) return Fail(ResultCode::kBadFrame, "limit out of range");
  ReceivedLimit received;
  received.start = {ServerId(packed.server), packed.started_ms};
  if (packed.limited) received.statement.limit = RequestRate(packed.per_s);
  received.statement.sent =
      now - microseconds(static_cast<std::int64_t>(packed.sent_age_us));
  received.statement.read =
      now - microseconds(static_cast<std::int64_t>(packed.read_age_us));
  if (packed.cold_left_ms > 0)
    received.cold_until = now + Milliseconds(packed.cold_left_ms);
  return received;
}

}  // namespace cowslipknot
