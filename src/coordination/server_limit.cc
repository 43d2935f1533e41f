#include "cowslipknot/coordination/server_limit.h"

#include <cmath>

namespace cowslipknot {
namespace {

/// Longest delay of a caller's return; limits may end sooner.
constexpr std::chrono::seconds kMaxReturnDelay(3);
constexpr double kMinReturnRate = 0.01;

}  // namespace

std::optional<LimitReading> BoundLimit(double per_s) {
  if (std::isnan(per_s)) return std::nullopt;
  const double bounded = std::clamp(per_s, 0.0, kMaxServerLimit.Count());
  const bool is_adjusted = per_s < 0 || per_s > kMaxServerLimit.Count();
  return LimitReading{RequestRate(bounded), is_adjusted};
}

bool Supersedes(const LimitStatement& statement, const LimitStatement& known) {
  if (statement.read <= known.read) return false;
  return statement.limit || !known.limit || statement.sent > known.read;
}

ReturnQueue::Time ReturnQueue::Join(RequestRate rate, Time now) {
  const std::chrono::duration<double> interval(
      1 / std::max(kMinReturnRate, rate.Count()));
  m_last_return = std::max(m_last_return, now) +
                  std::min(std::chrono::duration_cast<Time>(interval),
                           Time(kMaxReturnDelay));
  m_last_return = std::min(m_last_return, now + kMaxReturnDelay);
  return m_last_return - now;
}

}  // namespace cowslipknot
