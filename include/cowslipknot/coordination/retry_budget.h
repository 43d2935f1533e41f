#pragma once

#include <algorithm>

namespace cowslipknot {

/// Limits retries to a fraction of the requests, so that retries do not amplify
/// an outage. A token bucket that requests refill. Not thread-safe.
class RetryBudget {
 public:
  /// @param share    retries added to the budget by each request
  /// @param reserve  initial and maximum number of available retries
  RetryBudget(double share, double reserve)
      : m_share(share), m_reserve(reserve), m_balance(reserve) {}

  void RecordRequest() { m_balance = std::min(m_reserve, m_balance + m_share); }

  bool HasRetry() const { return m_balance >= 1; }

  /// Consumes one retry. @return false when the budget is exhausted
  bool TrySpend() {
    if (!HasRetry()) return false;
    m_balance -= 1;
    return true;
  }

 private:
  double m_share;
  double m_reserve;
  double m_balance;
};

}  // namespace cowslipknot
