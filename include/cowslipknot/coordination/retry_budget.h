#pragma once

#include <algorithm>

namespace cowslipknot {

/// Bounds retries to a share of requests, so that an outage is not multiplied.
class RetryBudget {
 public:
  /// @param share    retries earned by each request
  /// @param reserve  retries available at the start, and at most
  RetryBudget(double share, double reserve)
      : m_share(share), m_reserve(reserve), m_balance(reserve) {}

  void NoteRequest() { m_balance = std::min(m_reserve, m_balance + m_share); }

  /// Spends one retry. @return false when the budget is used up
  bool TrySpend() {
    if (m_balance < 1) return false;
    m_balance -= 1;
    return true;
  }

 private:
  double m_share;
  double m_reserve;
  double m_balance;
};

}  // namespace cowslipknot
