#include "serve/crash_reports.h"

#include <algorithm>

#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kFlushInterval(50);
constexpr std::size_t kMaxBatch = 256;

}  // namespace

Suspects SuspectsOf(const WorkspaceId& workspace, const RouteId& route,
                    std::string_view method, std::string_view target,
                    std::string_view body) {
  return {
      IdentifyRequest({workspace.Text(), route.Text(), method, target, body})};
}

bool CrashReports::Holds(const Suspects& suspects) const {
  return m_watch != nullptr && m_quarantines &&
         std::ranges::any_of(*m_quarantines, [&](const auto& quarantine) {
           return quarantine.Holds(suspects);
         });
}

Awaitable<Result<void>> CrashReports::AdmitHeld(RequestId request,
                                                Suspects suspects) {
  auto admit = [](CrashWatch* watch, RequestId id,
                  Suspects of_request) -> Awaitable<Result<void>> {
    Milliseconds until_trial(0);
    co_return watch->Admit(id, of_request, until_trial);
  };
  FlushCompletions();
  co_return co_await RunOn(
      m_control, admit(m_watch, std::move(request), std::move(suspects)));
}

Awaitable<std::optional<Milliseconds>> CrashReports::TimeUntilTrial(
    Suspects suspects) {
  if (m_watch == nullptr) co_return std::nullopt;
  auto ask = [](CrashWatch* watch,
                Suspects of_request) -> Awaitable<std::optional<Milliseconds>> {
    co_return watch->TimeUntilTrial(of_request);
  };
  co_return co_await RunOn(m_control, ask(m_watch, std::move(suspects)));
}

Awaitable<bool> CrashReports::MayRepeat(RequestId request, Suspects suspects,
                                        SteadyClock::time_point deadline) {
  if (m_watch == nullptr) co_return true;
  FlushCompletions();
  co_return co_await RunOn(
      m_control,
      m_watch->MayRepeat(std::move(request), std::move(suspects), deadline));
}

void CrashReports::RecordCompletion(const Suspects& suspects,
                                    std::chrono::nanoseconds sent) {
  if (m_watch == nullptr) return;
  m_completions.emplace_back(suspects, sent);
  if (m_completions.size() >= kMaxBatch) {
    FlushCompletions();
  } else if (m_completions.size() == 1) {
    Spawn(m_own, "report completions", FlushLater());
  }
}

Awaitable<void> CrashReports::FlushLater() {
  co_await SleepFor(kFlushInterval);
  FlushCompletions();
}

void CrashReports::FlushCompletions() {
  if (m_completions.empty()) return;
  asio::post(m_control,
             [watch = m_watch, completions = std::exchange(m_completions, {})] {
               for (const auto& [suspects, sent] : completions)
                 watch->OnCompleted(suspects, sent);
             });
}

void CrashReports::RecordBreakOff(const InstanceRecord& server,
                                  const Suspects& suspects,
                                  std::chrono::nanoseconds sent) {
  if (m_watch == nullptr) return;
  FlushCompletions();
  const ServerBoot boot{server.id,
                        static_cast<std::int64_t>(server.incarnation.Count())};
  asio::post(m_control,
             [watch = m_watch, boot, address = server.address, sent, suspects] {
               watch->OnBreakOffOfListed(boot, address, suspects, sent);
             });
}

Awaitable<Result<void>> SuspectRequest::Admit() {
  if (m_is_trial || !m_reports.Holds(m_suspects)) co_return Result<void>();
  auto admitted = co_await m_reports.AdmitHeld(m_id, m_suspects);
  m_is_trial = admitted.has_value();
  co_return admitted;
}

bool SuspectRequest::RecordFailure(const InstanceRecord& server,
                                   const Error& error,
                                   std::chrono::nanoseconds sent) {
  if (!IsBreakOff(error)) return false;
  m_reports.RecordBreakOff(server, m_suspects, sent);
  return true;
}

}  // namespace cowslipknot
