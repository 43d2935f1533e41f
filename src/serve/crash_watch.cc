#include "serve/crash_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>

#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cowslipknot/coordination/rendezvous.h"
#include "cowslipknot/events.h"
#include "transport/connect_check.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

/// Delay until a server whose answer broke off is checked. A process that ends
/// closes its connections before its listener.
constexpr Milliseconds kCheckDelay(50);
/// Time between questions whether a server has crashed.
constexpr Milliseconds kCheckPollInterval(20);
/// A server that accepts no connection within this time has crashed.
constexpr Milliseconds kCheckTimeout(250);
/// Interval of the checks of one server while unframed answers end there, and
/// the suspects that one check decides on.
constexpr Milliseconds kCompletionCheckInterval(250);
constexpr std::size_t kMaxUncheckedSuspects = 1024;
/// Interval at which evidence is exchanged while there is any, and during
/// startup.
constexpr Milliseconds kExchangeInterval(1000);
constexpr Milliseconds kStartupExchangeInterval(300);
constexpr std::chrono::seconds kStartupPeriod(20);
constexpr Milliseconds kExchangeTimeout(500);
/// Time in which the crashes of a moment, for example of a failure domain, are
/// collected for one notice.
constexpr Milliseconds kNoticeDelay(20);

std::string FormatSuspects(const Suspects& suspects, SuspectId::Kind kind) {
  std::ostringstream text;
  for (const auto& suspect : suspects) {
    if (suspect.kind != kind) continue;
    text << (text.tellp() > 0 ? "," : "") << std::hex << suspect.value;
  }
  return text.str();
}

std::string FormatParts(const Suspects& suspects) {
  return FormatSuspects(suspects, SuspectId::Kind::kPromptPart);
}

std::string FormatRequests(const Suspects& suspects) {
  return FormatSuspects(suspects, SuspectId::Kind::kRequest);
}

std::string EncodeUnlessEmpty(const CrashEvidence& evidence) {
  if (evidence.Empty()) return std::string();
  return EncodeCrashEvidence(evidence, TimeSinceBoot());
}

}  // namespace

bool IsBreakOff(const Error& error) {
  return error.execution == Execution::kUnknown &&
         (error.code == ResultCode::kBackendFailed ||
          error.code == ResultCode::kBackendMalformed);
}

bool HasFraming(const http::response_header<>& header) {
  const bool has_no_body = header.result() == http::status::no_content ||
                           header.result() == http::status::not_modified;
  return has_no_body ||
         header.find(http::field::content_length) != header.end() ||
         header.find(http::field::transfer_encoding) != header.end();
}

CrashWatch::CrashWatch(asio::any_io_executor executor, NodeId node,
                       std::optional<Endpoint> own, Hooks hooks)
    : m_executor(std::move(executor)),
      m_node(std::move(node)),
      m_own(std::move(own)),
      m_hooks(std::move(hooks)),
      m_started_at(TimeSinceBoot()),
      m_random(XXH3_64bits(m_node.Text().data(), m_node.Text().size())) {}

Result<void> CrashWatch::Admit(const RequestId& request,
                               const Suspects& suspects,
                               Milliseconds& until_trial) {
  const auto decision = m_quarantine.Decide(
      suspects, TimeSinceBoot(),
      [this](const Quarantine& quarantine) { return RunsTrials(quarantine); });
  if (decision.verdict == CrashQuarantine::Verdict::kSend)
    return Result<void>();
  const Suspects& held = decision.quarantine.suspects;
  if (decision.verdict == CrashQuarantine::Verdict::kTrial) {
    LogEvent(Event::kQuarantineTrial,
             {{"request", request.Text()},
              {"parts", FormatParts(held)},
              {"requests", FormatRequests(held)},
              {"crashes", std::to_string(decision.quarantine.crashes)}});
    return Result<void>();
  }
  until_trial = decision.until_trial;
  const std::string parts = FormatParts(held);
  return Fail(ResultCode::kPromptQuarantined,
              parts.empty() ? "the request itself" : "parts " + parts);
}

std::optional<Milliseconds> CrashWatch::TimeUntilTrial(
    const Suspects& suspects) {
  const auto decision = m_quarantine.Decide(
      suspects, TimeSinceBoot(), [](const Quarantine&) { return false; });
  if (decision.verdict == CrashQuarantine::Verdict::kSend) return std::nullopt;
  return decision.until_trial;
}

Awaitable<bool> CrashWatch::MayRepeat(RequestId request, Suspects suspects,
                                      SteadyClock::time_point deadline) {
  while (IsCheckPending(suspects) && SteadyClock::now() < deadline)
    co_await SleepFor(kCheckPollInterval);
  if (MayRetry(suspects)) co_return true;
  LogEvent(Event::kRetryWithheld, {{"request", request.Text()}});
  co_return false;
}

void CrashWatch::OnCompleted(const Suspects& suspects,
                             std::chrono::nanoseconds sent) {
  m_quarantine.RecordCompletion(suspects, sent, TimeSinceBoot());
  if (!m_logged.empty()) LogChanges();
}

void CrashWatch::OnProgress(const Suspects& suspects,
                            std::chrono::nanoseconds sent) {
  m_quarantine.RecordProgress(suspects, sent);
  if (!m_logged.empty()) LogChanges();
}

void CrashWatch::OnUnframedEnd(const ServerBoot& boot, const Endpoint& address,
                               const Suspects& suspects,
                               std::chrono::nanoseconds sent) {
  const auto [known, is_new] = m_unchecked.try_emplace(boot);
  for (const auto& suspect : suspects) {
    if (known->second.size() >= kMaxUncheckedSuspects) break;
    auto& latest = known->second[suspect];
    latest = std::max(latest, sent);
  }
  if (is_new) {
    Spawn(m_executor, "check completions", CheckCompletions(boot, address),
          [this, boot] { m_unchecked.erase(boot); });
  }
}

void CrashWatch::OnBreakOffOfListed(ServerBoot boot, const Endpoint& address,
                                    const Suspects& suspects,
                                    std::chrono::nanoseconds sent,
                                    AnswerStage stage) {
  // A server that is back may not be listed with its new incarnation yet.
  const auto crashed_before = [&] {
    const auto crashed = m_quarantine.CrashTime(boot);
    return crashed && sent > *crashed + kCheckDelay;
  };
  while (crashed_before()) ++boot.started_ms;
  OnBreakOff(boot, address, suspects, stage);
}

void CrashWatch::OnBreakOff(const ServerBoot& boot, const Endpoint& address,
                            const Suspects& suspects, AnswerStage stage) {
  const auto known =
      m_quarantine.RecordBreakOff(boot, suspects, TimeSinceBoot(), stage);
  if (known == CrashQuarantine::BreakOff::kNew) {
    Spawn(m_executor, "check server", CheckServer(boot, address));
  } else if (known == CrashQuarantine::BreakOff::kConfirmed) {
    AnnounceCrash(boot);
  }
}

Awaitable<void> CrashWatch::CheckServer(ServerBoot boot, Endpoint address) {
  co_await SleepFor(kCheckDelay);
  const bool accepts = co_await AcceptsConnections(address, kCheckTimeout);
  LogEvent(Event::kServerChecked, {{"server", boot.server.Text()},
                                   {"address", FormatEndpoint(address)},
                                   {"crashed", accepts ? "false" : "true"}});
  if (accepts) {
    m_quarantine.DiscardCrash(boot);
    co_return;
  }
  m_quarantine.ConfirmCrash(boot);
  AnnounceCrash(boot);
}

Awaitable<void> CrashWatch::CheckCompletions(ServerBoot boot,
                                             Endpoint address) {
  while (true) {
    const auto ended = std::exchange(m_unchecked[boot], {});
    co_await SleepFor(kCheckDelay);
    const bool accepts = co_await AcceptsConnections(address, kCheckTimeout);
    if (accepts) {
      for (const auto& [suspect, sent] : ended) OnCompleted({suspect}, sent);
    }
    co_await SleepFor(kCompletionCheckInterval);
    if (m_unchecked[boot].empty()) break;
  }
  m_unchecked.erase(boot);
}

void CrashWatch::AnnounceCrash(const ServerBoot& boot) {
  LogChanges();
  const bool is_first = m_unannounced.empty();
  m_unannounced.insert(boot);
  if (is_first) Spawn(m_executor, "announce crashes", AnnounceCrashes());
}

Awaitable<void> CrashWatch::AnnounceCrashes() {
  co_await SleepFor(kNoticeDelay);
  const auto boots = std::exchange(m_unannounced, {});
  PeerFrame frame;
  frame.kind = wire::Kind::ServerCrashed;
  frame.sender = m_node.Text();
  frame.text = EncodeCrashEvidence(m_quarantine.Export(boots), TimeSinceBoot());
  m_hooks.broadcast(m_hooks.peers(), frame);
}

Awaitable<void> CrashWatch::ExchangeEvidence() {
  while (true) {
    const bool starting = TimeSinceBoot() - m_started_at < kStartupPeriod;
    const Milliseconds interval =
        starting ? kStartupExchangeInterval : kExchangeInterval;
    co_await SleepFor(interval);
    const auto peers = m_hooks.peers();
    if (peers.empty() || (!starting && !m_quarantine.HasCrashes())) continue;
    const Endpoint& peer = peers[m_random() % peers.size()];
    co_await ExchangeWith(peer);
  }
}

Awaitable<void> CrashWatch::ExchangeWith(const Endpoint& peer) {
  PeerFrame frame;
  frame.kind = wire::Kind::ExchangePromptEvidence;
  frame.text = Export();
  const auto answer =
      co_await m_hooks.call(peer, std::move(frame), kExchangeTimeout);
  if (!answer) co_return;
  Import(answer->text, std::chrono::nanoseconds(0));
}

PeerFrame CrashWatch::Handle(const PeerFrame& frame) {
  Import(frame.text, std::chrono::nanoseconds(0));
  PeerFrame answer;
  if (frame.kind == wire::Kind::ExchangePromptEvidence) answer.text = Export();
  return answer;
}

std::string CrashWatch::Export() const {
  return EncodeUnlessEmpty(m_quarantine.Export());
}

std::string CrashWatch::ExportQuarantined() const {
  return EncodeUnlessEmpty(m_quarantine.ExportQuarantined());
}

void CrashWatch::Import(std::string_view text, std::chrono::nanoseconds age) {
  const CrashEvidence evidence =
      DecodeCrashEvidence(text, TimeSinceBoot() - age);
  if (evidence.Empty()) return;
  m_quarantine.Merge(evidence);
  LogChanges();
}

bool CrashWatch::RunsTrials(const Quarantine& quarantine) const {
  if (!m_own) return true;
  const Suspects& held = quarantine.suspects;
  const std::string key = FormatParts(held) + FormatRequests(held);
  const auto own = RendezvousWeight(key, FormatEndpoint(*m_own));
  const auto peers = m_hooks.peers();
  return std::ranges::all_of(peers, [&](const Endpoint& peer) {
    return RendezvousWeight(key, FormatEndpoint(peer)) <= own;
  });
}

void CrashWatch::LogChanges() {
  std::set<Suspects> active;
  for (const auto& quarantine : m_quarantine.Active()) {
    const Suspects& held = quarantine.suspects;
    active.insert(held);
    if (m_logged.contains(held)) continue;
    LogEvent(Event::kPromptQuarantined,
             {{"parts", FormatParts(held)},
              {"requests", FormatRequests(held)},
              {"crashes", std::to_string(quarantine.crashes)}});
  }
  for (const auto& held : m_logged) {
    if (active.contains(held)) continue;
    LogEvent(Event::kQuarantineEnded, {{"parts", FormatParts(held)},
                                       {"requests", FormatRequests(held)}});
  }
  if (m_logged == active) return;
  m_logged = std::move(active);
  if (m_hooks.on_change) m_hooks.on_change(m_quarantine.Active());
}

}  // namespace cowslipknot
