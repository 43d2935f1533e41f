#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cowslipknot/coordination/crash_quarantine.h"
#include "cowslipknot/result.h"
#include "protocol/peer_frame.h"
#include "transport/asio.h"

namespace cowslipknot {

/// Whether an error says that a connection ended in the middle of an exchange.
bool IsBreakOff(const Error& error);

/// Whether the end of a response with this header is told from the end of its
/// connection, which may also be a crash.
bool HasFraming(const http::response_header<>& header);

/// Feeds the crash quarantine: checks servers whose answers broke off, and
/// exchanges evidence with the other instances. Used on one thread only.
///
/// Crashes are sent to all peers at once, those of a moment together. Besides,
/// evidence is exchanged with one random peer at a time, for notices that were
/// lost and for instances that started since.
class CrashWatch {
 public:
  struct Hooks {
    /// Returns the other instances.
    std::function<std::vector<Endpoint>()> peers;
    std::function<Awaitable<Result<PeerFrame>>(Endpoint, PeerFrame,
                                               Milliseconds timeout)>
        call;
    /// Sends a frame to instances without waiting; failures are not retried.
    std::function<void(const std::vector<Endpoint>&, const PeerFrame&)>
        broadcast;
    /// Called after quarantines began or ended; may be empty.
    std::function<void(const std::vector<Quarantine>&)> on_change;
  };

  /// @param own  where the others reach this instance; none if it has no peers
  CrashWatch(asio::any_io_executor executor, NodeId node,
             std::optional<Endpoint> own, Hooks hooks);
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// Exchanges evidence with the other instances. Never returns.
  Awaitable<void> ExchangeEvidence();
  /// Handles ServerCrashed and ExchangePromptEvidence frames.
  PeerFrame Handle(const PeerFrame& frame);

  /// Whether a request may be sent to a server.
  /// @return kPromptQuarantined with the reason, if not
  Result<void> Admit(const RequestId& request, const Suspects& suspects,
                     Milliseconds& until_trial);
  bool MayRetry(const Suspects& suspects) const {
    return m_quarantine.MayRetry(suspects);
  }
  /// The same, once servers with the request's suspects have been checked, so
  /// that no request ends several servers before the first crash is known.
  /// @param deadline  of these checks
  Awaitable<bool> MayRepeat(RequestId request, Suspects suspects,
                            SteadyClock::time_point deadline);
  bool IsCheckPending(const Suspects& suspects) const {
    return m_quarantine.IsCheckPending(suspects);
  }
  /// How long a request with these suspects is held at least; nothing if it is
  /// not held.
  std::optional<Milliseconds> TimeUntilTrial(const Suspects& suspects);
  /// Records an answer that was complete.
  void OnCompleted(const Suspects& suspects, std::chrono::nanoseconds sent);
  /// Records an answer in progress that AnswerProgress found harmless.
  void OnProgress(const Suspects& suspects, std::chrono::nanoseconds sent);
  /// Records an answer that ended with its connection. It was complete if the
  /// server still runs.
  void OnUnframedEnd(const ServerBoot& boot, const Endpoint& address,
                     const Suspects& suspects, std::chrono::nanoseconds sent);
  /// Records that a connection ended in the middle of an exchange.
  /// @param boot  as listed
  /// @param sent  when the request was sent
  void OnBreakOffOfListed(ServerBoot boot, const Endpoint& address,
                          const Suspects& suspects,
                          std::chrono::nanoseconds sent,
                          AnswerStage stage = AnswerStage::kBegun);
  void OnBreakOff(const ServerBoot& boot, const Endpoint& address,
                  const Suspects& suspects,
                  AnswerStage stage = AnswerStage::kBegun);

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
  Awaitable<void> ExchangeWith(const Endpoint& peer);
  bool RunsTrials(const Quarantine& quarantine) const;
  /// Logs the quarantines that began and ended.
  void LogChanges();

  asio::any_io_executor m_executor;
  NodeId m_node;
  std::optional<Endpoint> m_own;
  Hooks m_hooks;
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

}  // namespace cowslipknot
