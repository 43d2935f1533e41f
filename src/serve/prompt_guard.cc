#include "serve/prompt_guard.h"

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
/// Interval at which evidence is exchanged while there is any, and during
/// startup.
constexpr Milliseconds kExchangeInterval(1000);
constexpr Milliseconds kStartupExchangeInterval(300);
constexpr std::chrono::seconds kStartupPeriod(20);
constexpr Milliseconds kExchangeTimeout(500);

std::string FormatParts(const SharedParts& parts) {
  std::ostringstream text;
  for (const std::uint64_t part : parts) {
    text << (text.tellp() > 0 ? "," : "") << std::hex << part;
  }
  return text.str();
}

}  // namespace

PromptGuard::PromptGuard(PeerLinks& links, asio::any_io_executor executor,
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

Result<void> PromptGuard::Admit(const RequestId& request,
                                const SharedParts& parts,
                                Milliseconds& until_trial) {
  const auto decision = m_quarantine.Decide(
      parts, TimeSinceBoot(),
      [this](const Quarantine& quarantine) { return RunsTrials(quarantine); });
  if (decision.verdict == PromptQuarantine::Verdict::kSend)
    return Result<void>();
  const std::string text = FormatParts(decision.quarantine.parts);
  if (decision.verdict == PromptQuarantine::Verdict::kTrial) {
    LogEvent(Event::kQuarantineTrial,
             {{"request", request.Text()},
              {"parts", text},
              {"crashes", std::to_string(decision.quarantine.crashes)}});
    return Result<void>();
  }
  until_trial = decision.until_trial;
  return Fail(ResultCode::kPromptQuarantined, text);
}

void PromptGuard::OnCompleted(const SharedParts& parts,
                              std::chrono::nanoseconds sent) {
  m_quarantine.RecordCompletion(parts, sent);
  if (!m_logged.empty()) LogChanges();
}

void PromptGuard::OnBreakOff(const ServerEntry& server,
                             const SharedParts& parts) {
  if (parts.empty()) return;
  const ServerBoot boot{server.id, server.started_ms};
  const auto known = m_quarantine.RecordBreakOff(boot, parts, TimeSinceBoot());
  if (known == PromptQuarantine::BreakOff::kNew) {
    Spawn(m_executor, "check server", CheckServer(boot, server.address));
  } else if (known == PromptQuarantine::BreakOff::kConfirmed) {
    AnnounceCrash(boot);
  }
}

Awaitable<void> PromptGuard::CheckServer(ServerBoot boot, Endpoint address) {
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

void PromptGuard::AnnounceCrash(const ServerBoot& boot) {
  PeerFrame frame;
  frame.kind = wire::Kind::ServerCrashed;
  frame.sender = m_settings.node.Text();
  frame.text = EncodePromptEvidence(m_quarantine.Export(boot), TimeSinceBoot());
  m_links.Broadcast(m_peers(), frame);
  LogChanges();
}

Awaitable<void> PromptGuard::ExchangeEvidence() {
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

Awaitable<void> PromptGuard::ExchangeWith(const Endpoint& peer) {
  PeerFrame frame;
  frame.kind = wire::Kind::ExchangePromptEvidence;
  frame.text = Export();
  const auto answer =
      co_await m_links.Call(peer, std::move(frame), kExchangeTimeout);
  if (!answer) co_return;
  Import(answer->text, std::chrono::nanoseconds(0));
}

PeerFrame PromptGuard::OnNotice(const PeerFrame& frame) {
  Import(frame.text, std::chrono::nanoseconds(0));
  PeerFrame answer;
  if (frame.kind == wire::Kind::ExchangePromptEvidence) answer.text = Export();
  return answer;
}

std::string PromptGuard::Export() const {
  const PromptEvidence evidence = m_quarantine.Export();
  if (evidence.Empty()) return std::string();
  return EncodePromptEvidence(evidence, TimeSinceBoot());
}

void PromptGuard::Import(std::string_view text, std::chrono::nanoseconds age) {
  const PromptEvidence evidence =
      DecodePromptEvidence(text, TimeSinceBoot() - age);
  if (evidence.Empty()) return;
  m_quarantine.Merge(evidence);
  LogChanges();
}

bool PromptGuard::RunsTrials(const Quarantine& quarantine) const {
  if (!m_settings.peers) return true;
  const std::string key = FormatParts(quarantine.parts);
  const auto own = RendezvousWeight(key, FormatEndpoint(*m_settings.peers));
  const auto peers = m_peers();
  return std::ranges::all_of(peers, [&](const Endpoint& peer) {
    return RendezvousWeight(key, FormatEndpoint(peer)) <= own;
  });
}

void PromptGuard::LogChanges() {
  std::set<SharedParts> active;
  for (const auto& quarantine : m_quarantine.Active()) {
    active.insert(quarantine.parts);
    if (m_logged.contains(quarantine.parts)) continue;
    LogEvent(Event::kPromptQuarantined,
             {{"parts", FormatParts(quarantine.parts)},
              {"crashes", std::to_string(quarantine.crashes)}});
  }
  for (const auto& parts : m_logged) {
    if (active.contains(parts)) continue;
    LogEvent(Event::kQuarantineEnded, {{"parts", FormatParts(parts)}});
  }
  m_logged = std::move(active);
}

}  // namespace cowslipknot::gateway
