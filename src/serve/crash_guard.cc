#include "serve/crash_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>

#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cowslipknot/coordination/rendezvous.h"
#include "cowslipknot/events.h"
#include "transport/connect_check.h"
#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

/// Delay until a server whose answer broke off is checked. A process that ends
/// closes its connections before its listener.
constexpr Milliseconds kCheckDelay(50);
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

Suspects SuspectsOf(const CallerRequest& request, const Route& route,
                    const HttpRequest& http) {
  Suspects suspects;
  std::string parts;
  for (const auto& part : request.prompt_parts) {
    parts += std::to_string(part.id) + ",";
    suspects.push_back({SuspectId::Kind::kPromptPart, part.id});
  }
  // The last part belongs to the request alone.
  if (!suspects.empty()) suspects.pop_back();
  suspects.push_back(
      IdentifyRequest({http.method_string(), route.host, http.target(),
                       request.api_key, http.body(), parts}));
  return suspects;
}

CrashGuard::CrashGuard(PeerLinks& links, asio::any_io_executor executor,
                       const Settings& settings, Peers peers)
    : m_links(links),
      m_executor(std::move(executor)),
      m_settings(settings),
      m_peers(std::move(peers)),
      m_started_at(TimeSinceBoot()),
      m_random(XXH3_64bits(settings.node.Text().data(),
                           settings.node.Text().size())) {
  for (const auto kind :
       {wire::Kind::ServerCrashed, wire::Kind::ExchangePromptEvidence}) {
    m_links.SetHandler(
        kind, [this](const PeerFrame& frame) { return OnNotice(frame); });
  }
  SpawnLoop(m_executor, "exchange prompt evidence",
            [this] { return ExchangeEvidence(); });
}

Result<void> CrashGuard::Admit(const RequestId& request,
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

void CrashGuard::OnCompleted(const Suspects& suspects,
                             std::chrono::nanoseconds sent) {
  m_quarantine.RecordCompletion(suspects, sent, TimeSinceBoot());
  if (!m_logged.empty()) LogChanges();
}

void CrashGuard::OnUnframedEnd(const ServerEntry& server,
                               const Suspects& suspects,
                               std::chrono::nanoseconds sent) {
  const ServerBoot boot{server.id, server.started_ms};
  const auto [known, is_new] = m_unchecked.try_emplace(boot);
  for (const auto& suspect : suspects) {
    if (known->second.size() >= kMaxUncheckedSuspects) break;
    auto& latest = known->second[suspect];
    latest = std::max(latest, sent);
  }
  if (is_new) {
    Spawn(m_executor, "check completions",
          CheckCompletions(boot, server.address),
          [this, boot] { m_unchecked.erase(boot); });
  }
}

void CrashGuard::OnBreakOff(const ServerEntry& server,
                            const Suspects& suspects) {
  const ServerBoot boot{server.id, server.started_ms};
  const auto known =
      m_quarantine.RecordBreakOff(boot, suspects, TimeSinceBoot());
  if (known == CrashQuarantine::BreakOff::kNew) {
    Spawn(m_executor, "check server", CheckServer(boot, server.address));
  } else if (known == CrashQuarantine::BreakOff::kConfirmed) {
    AnnounceCrash(boot);
  }
}

Awaitable<void> CrashGuard::CheckServer(ServerBoot boot, Endpoint address) {
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

Awaitable<void> CrashGuard::CheckCompletions(ServerBoot boot,
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

void CrashGuard::AnnounceCrash(const ServerBoot& boot) {
  LogChanges();
  const bool is_first = m_unannounced.empty();
  m_unannounced.insert(boot);
  if (is_first) Spawn(m_executor, "announce crashes", AnnounceCrashes());
}

Awaitable<void> CrashGuard::AnnounceCrashes() {
  co_await SleepFor(kNoticeDelay);
  const auto boots = std::exchange(m_unannounced, {});
  PeerFrame frame;
  frame.kind = wire::Kind::ServerCrashed;
  frame.sender = m_settings.node.Text();
  frame.text = EncodeCrashEvidence(m_quarantine.Export(boots), TimeSinceBoot());
  m_links.Broadcast(m_peers(), frame);
}

Awaitable<void> CrashGuard::ExchangeEvidence() {
  while (true) {
    const bool starting = TimeSinceBoot() - m_started_at < kStartupPeriod;
    const Milliseconds interval =
        starting ? kStartupExchangeInterval : kExchangeInterval;
    co_await SleepFor(interval);
    const auto peers = m_peers();
    if (peers.empty() || (!starting && !m_quarantine.HasCrashes())) continue;
    const Endpoint& peer = peers[m_random() % peers.size()];
    co_await ExchangeWith(peer);
  }
}

Awaitable<void> CrashGuard::ExchangeWith(const Endpoint& peer) {
  PeerFrame frame;
  frame.kind = wire::Kind::ExchangePromptEvidence;
  frame.text = Export();
  const auto answer =
      co_await m_links.Call(peer, std::move(frame), kExchangeTimeout);
  if (!answer) co_return;
  Import(answer->text, std::chrono::nanoseconds(0));
}

PeerFrame CrashGuard::OnNotice(const PeerFrame& frame) {
  Import(frame.text, std::chrono::nanoseconds(0));
  PeerFrame answer;
  if (frame.kind == wire::Kind::ExchangePromptEvidence) answer.text = Export();
  return answer;
}

std::string CrashGuard::Export() const {
  return EncodeUnlessEmpty(m_quarantine.Export());
}

std::string CrashGuard::ExportQuarantined() const {
  return EncodeUnlessEmpty(m_quarantine.ExportQuarantined());
}

void CrashGuard::Import(std::string_view text, std::chrono::nanoseconds age) {
  const CrashEvidence evidence =
      DecodeCrashEvidence(text, TimeSinceBoot() - age);
  if (evidence.Empty()) return;
  m_quarantine.Merge(evidence);
  LogChanges();
}

bool CrashGuard::RunsTrials(const Quarantine& quarantine) const {
  if (!m_settings.peers) return true;
  const Suspects& held = quarantine.suspects;
  const std::string key = FormatParts(held) + FormatRequests(held);
  const auto own = RendezvousWeight(key, FormatEndpoint(*m_settings.peers));
  const auto peers = m_peers();
  return std::ranges::all_of(peers, [&](const Endpoint& peer) {
    return RendezvousWeight(key, FormatEndpoint(peer)) <= own;
  });
}

void CrashGuard::LogChanges() {
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
  m_logged = std::move(active);
}

}  // namespace cowslipknot::gateway
