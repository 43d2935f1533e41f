#pragma once

#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "cowslipknot/state/fleet.h"
#include "serve/crash_watch.h"
#include "transport/http_client.h"

namespace cowslipknot {

using QuarantinesPtr = std::shared_ptr<const std::vector<Quarantine>>;

/// The suspect that a caller's request is as a whole.
Suspects SuspectsOf(const WorkspaceId& workspace, const RouteId& route,
                    std::string_view method, std::string_view target,
                    std::string_view body);

/// One traffic thread's access to the crash watch of the control thread. Used
/// on its own executor only.
class CrashReports {
 public:
  /// @param watch  used on `control` only; null if crashes are not watched
  CrashReports(asio::any_io_executor own, asio::any_io_executor control,
               CrashWatch* watch)
      : m_own(std::move(own)), m_control(std::move(control)), m_watch(watch) {}

  void SetQuarantines(QuarantinesPtr quarantines) {
    m_quarantines = std::move(quarantines);
  }
  /// Whether requests with these suspects are held, apart from trials.
  bool Holds(const Suspects& suspects) const;

  /// Whether a held request is sent as a trial.
  /// @return kPromptQuarantined with the reason, if not
  Awaitable<Result<void>> AdmitHeld(RequestId request, Suspects suspects);
  /// How long a request is held at least; nothing if it is not held.
  Awaitable<std::optional<Milliseconds>> TimeUntilTrial(Suspects suspects);
  /// Whether a request whose answer broke off may be sent to another server.
  /// Waits for the checks of servers, until the deadline at most.
  Awaitable<bool> MayRepeat(RequestId request, Suspects suspects,
                            SteadyClock::time_point deadline);
  /// Records an answer that was complete. They are reported in batches.
  void RecordCompletion(const Suspects& suspects,
                        std::chrono::nanoseconds sent);
  /// Records that a connection ended in the middle of an exchange.
  /// @param sent  when the request was sent, in TimeSinceBoot()
  void RecordBreakOff(const InstanceRecord& server, const Suspects& suspects,
                      std::chrono::nanoseconds sent);

 private:
  using Completions =
      std::vector<std::pair<Suspects, std::chrono::nanoseconds>>;

  Awaitable<void> FlushLater();
  void FlushCompletions();

  asio::any_io_executor m_own;
  asio::any_io_executor m_control;
  CrashWatch* m_watch;
  QuarantinesPtr m_quarantines;
  Completions m_completions;
};

/// A request that may crash its servers: asked before each attempt, told of
/// each end of one.
class SuspectRequest {
 public:
  SuspectRequest(CrashReports& reports, RequestId id, Suspects suspects)
      : m_reports(reports),
        m_id(std::move(id)),
        m_suspects(std::move(suspects)) {}

  /// Whether the request may be sent.
  /// @return kPromptQuarantined with the reason, if not
  Awaitable<Result<void>> Admit();
  /// @param sent  when the attempt that was answered began
  void RecordCompletion(std::chrono::nanoseconds sent) {
    m_reports.RecordCompletion(m_suspects, sent);
  }
  /// Takes notice of an attempt that failed after bytes of it were sent.
  /// @return whether the connection ended in the middle of the exchange
  bool RecordFailure(const InstanceRecord& server, const Error& error,
                     std::chrono::nanoseconds sent);
  /// Whether the request may be sent again after a connection ended so.
  Awaitable<bool> MayRepeat(SteadyClock::time_point deadline) {
    return m_reports.MayRepeat(m_id, m_suspects, deadline);
  }

 private:
  CrashReports& m_reports;
  RequestId m_id;
  Suspects m_suspects;
  bool m_is_trial = false;
};

}  // namespace cowslipknot
