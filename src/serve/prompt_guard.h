#pragma once

#include <functional>
#include <random>

#include "cowslipknot/gateway/prompt_quarantine.h"
#include "cowslipknot/gateway/settings.h"
#include "serve/peer_links.h"

namespace cowslipknot::gateway {

/// Feeds the prompt quarantine: checks servers whose answers broke off, and
/// exchanges evidence with the other instances. Used on the traffic thread
/// only.
///
/// A crash is sent to all peers at once. Besides, evidence is exchanged with
/// one random peer at a time, for notices that were lost and for instances that
/// started since.
class PromptGuard {
 public:
  using Peers = std::function<std::vector<Endpoint>()>;

  /// @param peers  returns the other instances
  PromptGuard(PeerLinks& links, asio::any_io_executor executor,
              const Settings& settings, Peers peers);

  /// Whether a request may be sent to a server.
  /// @return kPromptQuarantined with the reason, if not
  Result<void> Admit(const RequestId& request, const SharedParts& parts,
                     Milliseconds& until_trial);
  bool MayRetry(const SharedParts& parts) const {
    return m_quarantine.MayRetry(parts);
  }
  /// Records an answer that was complete.
  void OnCompleted(const SharedParts& parts, std::chrono::nanoseconds sent);
  /// Records that a connection ended in the middle of an exchange.
  void OnBreakOff(const ServerEntry& server, const SharedParts& parts);

  /// All evidence, if any part is quarantined.
  std::string ExportQuarantined() const {
    return m_quarantine.Active().empty() ? std::string() : Export();
  }
  /// Adds evidence of other instances, which is `age` old.
  void Import(std::string_view text, std::chrono::nanoseconds age);

 private:
  /// All evidence; empty if there is none.
  std::string Export() const;
  Awaitable<void> CheckServer(ServerBoot boot, Endpoint address);
  void AnnounceCrash(const ServerBoot& boot);
  Awaitable<void> ExchangeEvidence();
  Awaitable<void> ExchangeWith(const Endpoint& peer);
  PeerFrame OnNotice(const PeerFrame& frame);
  bool RunsTrials(const Quarantine& quarantine) const;
  /// Logs the quarantines that began and ended.
  void LogChanges();

  PeerLinks& m_links;
  asio::any_io_executor m_executor;
  const Settings& m_settings;
  Peers m_peers;
  PromptQuarantine m_quarantine;
  std::set<SharedParts> m_logged;  ///< quarantines, as last logged
  std::chrono::nanoseconds m_started_at;
  std::mt19937_64 m_random;
};

}  // namespace cowslipknot::gateway
