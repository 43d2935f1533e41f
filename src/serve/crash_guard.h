#pragma once

#include <functional>
#include <random>

#include "cowslipknot/coordination/crash_quarantine.h"
#include "cowslipknot/gateway/routes.h"
#include "cowslipknot/gateway/settings.h"
#include "protocol/platform_adapter.h"
#include "serve/peer_links.h"
#include "transport/http_client.h"

namespace cowslipknot::gateway {

/// Suspects of a request: the parts of its prompt that other requests may
/// share, which are all but the last one, and the request itself, as its caller
/// would repeat it.
/// @param route  names the host; what the caller names may hold the address of
///               an instance
/// @param http  as received from the caller
Suspects SuspectsOf(const CallerRequest& request, const Route& route,
                    const HttpRequest& http);

/// Feeds the crash quarantine: checks servers whose answers broke off, and
/// exchanges evidence with the other instances. Used on the traffic thread
/// only.
///
/// Crashes are sent to all peers at once, those of a moment together. Besides,
/// evidence is exchanged with one random peer at a time, for notices that were
/// lost and for instances that started since.
class CrashGuard {
 public:
  using Peers = std::function<std::vector<Endpoint>()>;

  /// @param peers  returns the other instances
  CrashGuard(PeerLinks& links, asio::any_io_executor executor,
             const Settings& settings, Peers peers);

  /// Whether a request may be sent to a server.
  /// @return kPromptQuarantined with the reason, if not
  Result<void> Admit(const RequestId& request, const Suspects& suspects,
                     Milliseconds& until_trial);
  bool MayRetry(const Suspects& suspects) const {
    return m_quarantine.MayRetry(suspects);
  }
  bool IsCheckPending(const Suspects& suspects) const {
    return m_quarantine.IsCheckPending(suspects);
  }
  /// Records an answer that was complete.
  void OnCompleted(const Suspects& suspects, std::chrono::nanoseconds sent);
  /// Records an answer that ended with its connection. It was complete if the
  /// server still runs.
  void OnUnframedEnd(const ServerEntry& server, const Suspects& suspects,
                     std::chrono::nanoseconds sent);
  /// Records that a connection ended in the middle of an exchange.
  void OnBreakOff(const ServerEntry& server, const Suspects& suspects);

  /// The evidence of what is quarantined; empty if nothing is.
  std::string ExportQuarantined() const;
  /// Adds evidence of other instances, which is `age` old.
  void Import(std::string_view text, std::chrono::nanoseconds age);

 private:
  /// All evidence; empty if there is none.
  std::string Export() const;
  Awaitable<void> CheckServer(ServerBoot boot, Endpoint address);
  Awaitable<void> CheckCompletions(ServerBoot boot, Endpoint address);
  void AnnounceCrash(const ServerBoot& boot);
  Awaitable<void> AnnounceCrashes();
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
  CrashQuarantine m_quarantine;
  /// When requests were sent that are complete if their server still runs.
  using UncheckedCompletions = std::map<SuspectId, std::chrono::nanoseconds>;
  /// Of the servers that are being checked.
  std::map<ServerBoot, UncheckedCompletions> m_unchecked;
  std::set<ServerBoot> m_unannounced;
  std::set<Suspects> m_logged;  ///< quarantines, as last logged
  std::chrono::nanoseconds m_started_at;
  std::mt19937_64 m_random;
};

}  // namespace cowslipknot::gateway
