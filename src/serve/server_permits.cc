#include "serve/server_permits.h"

#include <algorithm>
#include <set>

#include "base/clock.h"
#include "base/endpoint_text.h"
#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

/// Timeout of a request for a permit; the caller's request waits meanwhile.
constexpr Milliseconds kAskTimeout(60);
/// Delay until a granter that failed, or may not grant yet, is asked again.
constexpr Milliseconds kFailedGranterBackoff(1000);
constexpr Milliseconds kNoGranterDelay(500);
/// Time until every instance that reaches the store knows of a change in the
/// set of instances.
constexpr Milliseconds kGranterHandoverDelay(4000);
constexpr Milliseconds kNoticeTimeout(250);
/// For how long the limit of a server that is not registered is remembered. A
/// registration may lapse for a moment.
constexpr std::chrono::seconds kRemovedServerMemory(60);
/// Up to this limit, one request asks for a permit at a time. Others would
/// mostly be denied, and all would wait for a granter that does not respond.
constexpr RequestRate kMaxSerialLimit(20);

std::string FormatLimit(const LimitStatement& statement) {
  return statement.limit ? std::to_string(statement.limit->Count()) : "";
}

}  // namespace

ServerPermits::ServerPermits(PeerLinks& links, asio::any_io_executor executor,
                             const Settings& settings, MetricSet& metrics)
    : m_links(links),
      m_executor(std::move(executor)),
      m_settings(settings),
      m_metrics(metrics) {
  m_links.SetHandler(wire::Kind::AskPermit, [this](const PeerFrame& frame) {
    return OnAskPermit(frame);
  });
  m_links.SetHandler(wire::Kind::ServerLimits, [this](const PeerFrame& frame) {
    return OnServerLimits(frame);
  });
}

void ServerPermits::Update(
    const KnownInstances& instances,
    const std::map<ServiceId, std::vector<Backend>>& servers) {
  m_registered.clear();
  for (const auto& [service, backends] : servers) {
    for (const auto& backend : backends)
      m_registered[backend.entry.id] = backend;
  }
  for (auto item = m_tracked.begin(); item != m_tracked.end();) {
    const bool keeps = KeepsTrack(item->first, item->second);
    item = keeps ? std::next(item) : m_tracked.erase(item);
  }
  UpdateColdServers();
  std::erase_if(m_returns, [&servers](const auto& item) {
    return !servers.contains(item.first);
  });
  if (instances.serving == m_serving) return;
  const auto before = std::exchange(m_serving, instances.serving);
  std::vector<PermitInstance> granters;
  m_addresses.clear();
  m_peers.clear();
  for (const auto& instance : m_serving) {
    const bool is_self = instance.node == m_settings.node;
    // An instance that accepts no frames grants its own part to itself.
    if (m_settings.peers ? !instance.peers : !is_self) continue;
    granters.push_back({instance.node, instance.domain});
    if (is_self) continue;
    m_addresses[instance.node] = *instance.peers;
    m_peers.push_back(*instance.peers);
  }
  std::erase_if(m_backoff_until, [](const auto& item) {
    return item.second <= TimeSinceBoot();
  });
  const auto now = TimeSinceBoot();
  const bool is_first = m_instances.empty();
  const Time since =
      is_first && instances.inherits ? now - kGranterHandoverDelay : now;
  if (granters != m_instances) {
    m_instances = std::move(granters);
    m_instances_changed = since;
    for (auto& [server, tracked] : m_tracked)
      AssignGranters(server, tracked, since);
  }
  TellNewInstances(before);
}

bool ServerPermits::KeepsTrack(const ServerId& server, Tracked& tracked) const {
  const auto now = TimeSinceBoot();
  const auto found = m_registered.find(server);
  if (found == m_registered.end()) {
    tracked.removed_at = tracked.removed_at.value_or(now);
    return now - *tracked.removed_at < kRemovedServerMemory;
  }
  const Backend& backend = found->second;
  if (backend.entry.started_ms != tracked.started_ms) return false;
  tracked.removed_at.reset();
  if (tracked.state != backend.state) {
    tracked.state = backend.state;
    tracked.state->RecordLimit(tracked.statement.limit);
    if (tracked.cold_rate)
      tracked.state->RecordCold(tracked.cold_until, *tracked.cold_rate);
  }
  return true;
}

void ServerPermits::UpdateColdServers() {
  const auto now = TimeSinceBoot();
  for (const auto& [server, backend] : m_registered) {
    if (!backend.cold_rate || now >= backend.cold_until) continue;
    const ServerStart start{server, backend.entry.started_ms};
    if (Tracked* tracked = Track(start))
      ExtendCold(start, *tracked, backend.cold_until);
  }
}

void ServerPermits::ExtendCold(const ServerStart& start, Tracked& tracked,
                               Time until) {
  const auto now = TimeSinceBoot();
  if (!tracked.cold_rate || until <= tracked.cold_until || until <= now) return;
  const bool was_cold = now < tracked.cold_until;
  tracked.cold_until = until;
  tracked.state->RecordCold(until, *tracked.cold_rate);
  if (was_cold) return;
  LogEvent(
      Event::kServerCold,
      {{"server", start.server.Text()},
       {"cold_ms",
        std::to_string(std::chrono::ceil<Milliseconds>(until - now).count())},
       {"permits_per_s", std::to_string(tracked.cold_rate->Count())},
       {"granter", tracked.main ? tracked.main->Text() : ""}});
  m_metrics.Add("cowslipknot_cold_servers_total",
                FormatLabel("service", tracked.service.Text()));
}

std::optional<RequestRate> ServerPermits::LimitOf(const Tracked& tracked,
                                                  Time now) {
  const auto& stated = tracked.statement.limit;
  if (!tracked.cold_rate || now >= tracked.cold_until) return stated;
  return std::min(*tracked.cold_rate, stated.value_or(*tracked.cold_rate));
}

void ServerPermits::TellNewInstances(
    const std::vector<InstanceSummary>& before) {
  const std::set<InstanceSummary> known(before.begin(), before.end());
  std::vector<Endpoint> added;
  for (const auto& instance : m_serving) {
    const bool other = instance.peers && instance.node != m_settings.node;
    if (other && !known.contains(instance)) added.push_back(*instance.peers);
  }
  PeerFrame frame;
  frame.kind = wire::Kind::ServerLimits;
  for (const auto& [server, tracked] : m_tracked) {
    // One instance tells of each server.
    const bool tells = tracked.granter.Role() == GranterRole::kMain &&
                       tracked.statement.limit.has_value();
    if (!tells) continue;
    frame.limits.push_back(PackLimit({server, tracked.started_ms},
                                     tracked.statement, TimeSinceBoot()));
  }
  if (!added.empty() && !frame.limits.empty()) m_links.Broadcast(added, frame);
}

ServerPermits::Tracked* ServerPermits::Find(const ServerStart& start) {
  const auto found = m_tracked.find(start.server);
  if (found == m_tracked.end() ||
      found->second.started_ms != start.started_ms) {
    return nullptr;
  }
  return &found->second;
}

ServerPermits::Tracked* ServerPermits::Track(const ServerStart& start) {
  if (Tracked* known = Find(start)) return known;
  const auto registered = m_registered.find(start.server);
  if (registered == m_registered.end() ||
      registered->second.entry.started_ms != start.started_ms) {
    return nullptr;
  }
  const Backend& backend = registered->second;
  Tracked tracked{.started_ms = start.started_ms,
                  .service = backend.entry.service,
                  .state = backend.state,
                  .statement = {},
                  .cold_until = Time(0),
                  .cold_rate = backend.cold_rate,
                  .granter = PermitGranter(kGranterHandoverDelay),
                  .main = {},
                  .substitute = {},
                  .held = {},
                  .ask_main_from = Time(0),
                  .removed_at = {}};
  AssignGranters(start.server, tracked, m_instances_changed);
  return &m_tracked.insert_or_assign(start.server, std::move(tracked))
              .first->second;
}

void ServerPermits::AssignGranters(const ServerId& server, Tracked& tracked,
                                   Time since) {
  tracked.main = ChooseGranter(server, m_instances);
  tracked.substitute = ChooseSubstitute(server, m_settings.domain, m_instances);
  tracked.ask_main_from = Time(0);
  tracked.granter.SetRole(FindRole(server, m_settings.node, m_instances),
                          since);
}

bool ServerPermits::Apply(const ServerStart& start, Tracked& tracked,
                          const LimitStatement& statement) {
  if (!Supersedes(statement, tracked.statement)) return false;
  const bool was_limited = tracked.statement.limit.has_value();
  tracked.statement = statement;
  tracked.state->RecordLimit(statement.limit);
  const bool changed = was_limited != statement.limit.has_value();
  if (!changed) return false;
  LogEvent(was_limited ? Event::kServerLimitEnded : Event::kServerLimited,
           {{"server", start.server.Text()},
            {"limit_per_s", FormatLimit(statement)},
            {"granter", tracked.main ? tracked.main->Text() : ""},
            {"age_ms", FormatAgeMs(statement.read)}});
  if (!was_limited) {
    m_metrics.Add("cowslipknot_server_limits_total",
                  FormatLabel("service", tracked.service.Text()));
  }
  return true;
}

void ServerPermits::OnStatement(const Backend& server,
                                const LimitStatement& statement) {
  const ServerStart start{server.entry.id, server.entry.started_ms};
  Tracked* tracked = statement.limit ? Track(start) : Find(start);
  if (tracked == nullptr) return;
  if (Apply(start, *tracked, statement)) Tell(start, *tracked);
}

bool ServerPermits::ShouldLogOddLimit(const ServerId& server) {
  return m_odd_limits.ShouldLog(server.Text(), TimeSinceBoot());
}

PeerFrame ServerPermits::BuildNotice(const ServerStart& start,
                                     const LimitStatement& statement) const {
  PeerFrame frame;
  frame.kind = wire::Kind::ServerLimits;
  frame.limits.push_back(PackLimit(start, statement, TimeSinceBoot()));
  return frame;
}

void ServerPermits::Tell(const ServerStart& start, const Tracked& tracked) {
  const auto granter =
      tracked.main ? m_addresses.find(*tracked.main) : m_addresses.end();
  if (granter == m_addresses.end()) {
    m_links.Broadcast(m_peers, BuildNotice(start, tracked.statement));
    return;
  }
  Spawn(m_executor, "tell permit granter",
        TellGranter(granter->second, start, tracked.statement));
}

Awaitable<void> ServerPermits::TellGranter(Endpoint granter, ServerStart start,
                                           LimitStatement statement) {
  PeerFrame notice = BuildNotice(start, statement);
  const auto answer = co_await m_links.Call(std::move(granter),
                                            std::move(notice), kNoticeTimeout);
  // Ages in a frame count from when it is built.
  if (!answer) m_links.Broadcast(m_peers, BuildNotice(start, statement));
}

PeerFrame ServerPermits::OnServerLimits(const PeerFrame& frame) {
  const auto now = TimeSinceBoot();
  for (const auto& packed : frame.limits) {
    if (!packed) continue;
    const auto received = UnpackLimit(*packed, now);
    if (!received) {
      LogEvent(Event::kFrameRejected, {{"detail", received.error().detail}});
      continue;
    }
    const auto& [start, statement, cold_until] = *received;
    const bool binds = statement.limit || cold_until > now;
    Tracked* tracked = binds ? Track(start) : Find(start);
    if (tracked == nullptr) continue;
    ExtendCold(start, *tracked, cold_until);
    if (!Apply(start, *tracked, statement)) continue;
    if (tracked->main == m_settings.node) Tell(start, *tracked);
  }
  return PeerFrame();
}

Awaitable<bool> ServerPermits::Acquire(ServerEntry server) {
  const ServerStart start{server.id, server.started_ms};
  Tracked* tracked = Find(start);
  if (tracked == nullptr) co_return true;
  const auto asked_at = TimeSinceBoot();
  const auto limit = LimitOf(*tracked, asked_at);
  if (!limit || tracked->held.Take(asked_at)) co_return true;
  const bool asks_alone = *limit <= kMaxSerialLimit;
  if (asks_alone) tracked->state->Withhold(asked_at + 2 * kAskTimeout);
  const auto answer = co_await AskGranters(start);
  tracked = Find(start);
  const auto now = TimeSinceBoot();
  if (tracked == nullptr || !LimitOf(*tracked, now)) co_return true;
  if (answer && answer->permits > 0) {
    CountPermit(*tracked, "granted");
    if (asks_alone) tracked->state->Withhold(Time(0));
    tracked->held.Add(answer->permits, asked_at);
    if (tracked->held.Take(now)) co_return true;
  }
  if (!answer) CountPermit(*tracked, "no_granter");
  if (answer && answer->permits == 0) CountPermit(*tracked, "denied");
  tracked->state->Withhold(now + (answer ? answer->wait : kNoGranterDelay));
  co_return false;
}

Awaitable<std::optional<PermitAnswer>> ServerPermits::AskGranters(
    ServerStart start) {
  Tracked* tracked = Find(start);
  if (tracked->main && TimeSinceBoot() >= tracked->ask_main_from) {
    const auto answer = co_await Ask(start, *tracked->main, GranterRole::kMain);
    if (answer) co_return answer;
    tracked = Find(start);
    if (tracked == nullptr) co_return std::nullopt;
    tracked->ask_main_from = TimeSinceBoot() + kFailedGranterBackoff;
  }
  if (!tracked->substitute) co_return std::nullopt;
  co_return co_await Ask(start, *tracked->substitute, GranterRole::kSubstitute);
}

Awaitable<std::optional<PermitAnswer>> ServerPermits::Ask(ServerStart start,
                                                          NodeId granter,
                                                          GranterRole role) {
  if (granter == m_settings.node) {
    co_return Grant(*Find(start), role, m_settings.node);
  }
  const auto address = m_addresses.find(granter);
  if (address == m_addresses.end()) co_return std::nullopt;
  const Endpoint peer = address->second;
  const auto backoff = m_backoff_until.find(peer);
  if (backoff != m_backoff_until.end() && TimeSinceBoot() < backoff->second) {
    co_return std::nullopt;
  }
  co_return co_await AskPeer(std::move(start), peer, role);
}

Awaitable<std::optional<PermitAnswer>> ServerPermits::AskPeer(
    ServerStart start, Endpoint peer, GranterRole role) {
  const Tracked& tracked = *Find(start);
  PeerFrame frame;
  frame.kind = wire::Kind::AskPermit;
  frame.limits.push_back(
      PackLimit(start, tracked.statement, TimeSinceBoot(), tracked.cold_until));
  frame.permit_source = role == GranterRole::kSubstitute
                            ? wire::PermitSource::Domain
                            : wire::PermitSource::Main;
  const auto answer =
      co_await m_links.Call(peer, std::move(frame), kAskTimeout);
  if (!answer) {
    LogEvent(Event::kPermitGranterUnresponsive,
             {{"granter", FormatEndpoint(peer)},
              {"server", start.server.Text()},
              {"detail", answer.error().detail}});
    m_backoff_until[peer] = TimeSinceBoot() + kFailedGranterBackoff;
    co_return std::nullopt;
  }
  OnServerLimits(*answer);
  // An answer without the server's id means that the instance may not grant.
  if (answer->text != start.server.Text()) co_return std::nullopt;
  constexpr std::uint64_t kMaxWaitMs = 10000;
  constexpr std::uint64_t kMaxPermits = 1000;
  PermitAnswer permit;
  permit.permits =
      static_cast<std::uint32_t>(std::min(answer->amount, kMaxPermits));
  permit.wait = Milliseconds(
      static_cast<std::int64_t>(std::min(answer->wait_ms, kMaxWaitMs)));
  co_return permit;
}

std::optional<PermitAnswer> ServerPermits::Grant(Tracked& tracked,
                                                 GranterRole role,
                                                 const NodeId& asker) {
  const auto now = TimeSinceBoot();
  const auto limit = LimitOf(tracked, now);
  if (!limit) return std::nullopt;
  double share =
      role == GranterRole::kSubstitute ? SubstituteShare(m_instances) : 1;
  if (!m_settings.peers) share /= static_cast<double>(m_serving.size());
  return tracked.granter.Ask(role, asker, *limit, share, now);
}

PeerFrame ServerPermits::OnAskPermit(const PeerFrame& frame) {
  PeerFrame answer;
  if (frame.limits.size() != 1 || !frame.limits[0]) return answer;
  OnServerLimits(frame);
  const wire::LimitStatementT& asked = *frame.limits[0];
  const ServerStart start{ServerId(asked.server), asked.started_ms};
  Tracked* tracked = Find(start);
  if (tracked == nullptr) return answer;
  const auto& stated = tracked->statement.limit;
  const bool agrees = stated.has_value() == asked.limited &&
                      (!stated || stated->Count() == asked.per_s);
  if (!agrees) {
    answer.limits.push_back(
        PackLimit(start, tracked->statement, TimeSinceBoot()));
  }
  const GranterRole role = frame.permit_source == wire::PermitSource::Domain
                               ? GranterRole::kSubstitute
                               : GranterRole::kMain;
  const auto permit = Grant(*tracked, role, NodeId(frame.sender));
  if (!permit) return answer;
  answer.text = asked.server;
  answer.amount = permit->permits;
  answer.wait_ms = static_cast<std::uint64_t>(permit->wait.count());
  return answer;
}

std::optional<Milliseconds> ServerPermits::ReturnDelay(
    const ServiceId& service, const std::vector<Backend>& servers) {
  const auto now = TimeSinceBoot();
  double total = 0;
  for (const auto& server : servers) {
    if (server.state->IsLeaving()) continue;
    const auto limit = server.state->Limit(now);
    if (!limit) return std::nullopt;
    total += limit->Count();
  }
  const double instances =
      static_cast<double>(std::max<std::size_t>(1, m_instances.size()));
  const RequestRate share(total / instances);
  return std::chrono::ceil<Milliseconds>(m_returns[service].Join(share, now));
}

void ServerPermits::CountPermit(const Tracked& tracked, const char* outcome) {
  m_metrics.Add("cowslipknot_server_permits_total",
                FormatLabel("service", tracked.service.Text()) + "," +
                    FormatLabel("outcome", outcome));
}

}  // namespace cowslipknot::gateway
