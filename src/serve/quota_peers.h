#pragma once

#include <map>
#include <memory>
#include <optional>

#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/settings.h"
#include "serve/peer_links.h"

namespace cowslipknot::gateway {

/// Lends quota to other instances and borrows it from them. The lenders of a
/// limit are the instances that lend it. Used on the traffic thread only.
class QuotaPeers {
 public:
  QuotaPeers(PeerLinks& links, const Settings& settings);

  /// Applies a new set of instances.
  /// @param lent_shares  shares of the limits that this instance lends
  /// @param lenders  instances that lend each limit
  void Update(const std::map<WorkspaceId, double>& lent_shares,
              std::map<WorkspaceId, std::vector<Endpoint>> lenders,
              ConfigurationPtr configuration);

  /// Borrows an amount from one of the limit's lenders.
  /// @return zero if granted, else the time until it would be; none if no
  ///         lender responds
  Awaitable<std::optional<Milliseconds>> Borrow(const Workspace& workspace,
                                                double amount);

 private:
  using Time = std::chrono::nanoseconds;

  /// A loan that a lender denied. The same or a larger amount is not requested
  /// again before retry_at.
  struct Shortage {
    double amount = 0;
    Time retry_at{0};
    Time available_at{0};  ///< predicted by the lender
  };

  Awaitable<std::optional<Milliseconds>> BorrowFrom(const Endpoint& lender,
                                                    const Workspace& workspace,
                                                    double amount);
  PeerFrame OnBorrowQuota(const PeerFrame& frame);
  Awaitable<Result<Milliseconds>> RequestLoan(const Endpoint& lender,
                                              const WorkspaceId& workspace,
                                              double amount);

  const Settings& m_settings;
  PeerLinks& m_links;
  QuotaPool m_pool;
  std::size_t m_first_lender;  ///< index of the lender to ask first
  std::map<WorkspaceId, std::vector<Endpoint>> m_lenders;
  std::map<Endpoint, Time> m_backoff_until;
  std::map<std::pair<WorkspaceId, Endpoint>, Shortage> m_shortages;
  ConfigurationPtr m_configuration;
};

}  // namespace cowslipknot::gateway
