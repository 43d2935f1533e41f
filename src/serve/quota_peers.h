#pragma once

#include <map>
#include <memory>
#include <optional>

#include "cowslipknot/gateway/quota.h"
#include "cowslipknot/gateway/settings.h"
#include "serve/peer_links.h"

namespace cowslipknot::gateway {

/// Lends parts of limits to other instances and borrows from them. Used on the
/// traffic thread only.
class QuotaPeers {
 public:
  QuotaPeers(PeerLinks& links, const Settings& settings);

  /// Takes a new view of the instances.
  /// @param pooled  parts of limits that are lent here
  /// @param homes   where each limit is lent
  void Update(const std::map<WorkspaceId, double>& pooled,
              std::map<WorkspaceId, std::vector<Endpoint>> homes,
              ConfigurationPtr configuration);

  /// Borrows a cost from one of the limit's homes.
  /// @return zero when lent, else the time until it would be; none when no
  ///         home answers
  Awaitable<std::optional<Milliseconds>> Borrow(const Workspace& workspace,
                                                double amount);

 private:
  using Time = std::chrono::nanoseconds;

  /// A home that did not lend: as much is not asked for again before.
  struct Shortage {
    double amount = 0;
    Time ask_after{0};
    Time lends_at{0};  ///< as the home predicted it
  };

  Awaitable<std::optional<Milliseconds>> BorrowFrom(const Endpoint& home,
                                                    const Workspace& workspace,
                                                    double amount);
  PeerFrame Answer(const PeerFrame& frame);
  Awaitable<Result<Milliseconds>> Ask(const Endpoint& home,
                                      const WorkspaceId& workspace,
                                      double amount);

  const Settings& m_settings;
  PeerLinks& m_links;
  QuotaPool m_pool;
  std::size_t m_first_home;  ///< index of the home that is asked first
  std::map<WorkspaceId, std::vector<Endpoint>> m_homes;
  std::map<Endpoint, Time> m_silent_until;
  std::map<std::pair<WorkspaceId, Endpoint>, Shortage> m_shortages;
  ConfigurationPtr m_configuration;
};

}  // namespace cowslipknot::gateway
