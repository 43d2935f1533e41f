#include "serve/permit_exchange.h"

#include <algorithm>

#include "base/clock.h"
#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

/// Delay until a granter that failed, or may not grant yet, is asked again.
constexpr Milliseconds kFailedGranterBackoff(1000);
constexpr Milliseconds kNoGranterDelay(500);
/// Time until every live instance knows of a change of the instances: a failed
/// one is suspected first.
constexpr Milliseconds kGranterHandoverDelay(4000);
/// Up to this limit, one request asks for a permit at a time. Others would
/// mostly be denied, and all would wait for a granter that does not respond.
constexpr RequestRate kMaxSerialLimit(20);
/// Longest time until a granter or its substitute has answered.
constexpr Milliseconds kMaxAskTime(120);
/// For how long the limit of a server that is not listed is remembered. A
/// server may leave the list for a moment.
constexpr std::chrono::seconds kRemovedServerMemory(60);
constexpr std::uint64_t kMaxWaitMs = 10000;
constexpr std::uint64_t kMaxPermits = 1000;

std::int64_t StartOf(const ServerView& server) {
  return static_cast<std::int64_t>(server.record.incarnation.Count());
}

}  // namespace

PermitExchange::PermitExchange(NodeId self, DomainId domain,
                               asio::any_io_executor executor, Hooks hooks)
    : m_self(std::move(self)),
      m_domain(std::move(domain)),
      m_executor(std::move(executor)),
      m_hooks(std::move(hooks)) {}

void PermitExchange::Update() {
  for (auto item = m_tracked.begin(); item != m_tracked.end();) {
    const bool keeps = KeepsTrack(item->first, item->second);
    item = keeps ? std::next(item) : m_tracked.erase(item);
  }
  std::vector<PermitInstance> instances = m_hooks.instances();
  std::sort(instances.begin(), instances.end());
  if (instances == m_instances) return;
  const bool knew_none = m_instances.size() <= 1;
  m_instances = std::move(instances);
  m_instances_changed = TimeSinceBoot();
  for (auto& [server, tracked] : m_tracked) {
    // Others may have granted while this instance knew only itself.
    if (knew_none)
      tracked.granter.SetRole(GranterRole::kNone, m_instances_changed);
    AssignGranters(server, tracked);
  }
}

bool PermitExchange::KeepsTrack(const ServerId& id, Tracked& tracked) const {
  const auto now = TimeSinceBoot();
  const auto server = m_hooks.find_server(id);
  if (!server) {
    tracked.removed_at = tracked.removed_at.value_or(now);
    return now - *tracked.removed_at < kRemovedServerMemory;
  }
  if (StartOf(*server) != tracked.started_ms) return false;
  tracked.removed_at.reset();
  if (tracked.load != server->load) {
    tracked.load = server->load;
    tracked.load->limited = tracked.statement.limit.has_value();
  }
  return true;
}

PermitExchange::Tracked* PermitExchange::Find(const ServerStart& start) {
  const auto found = m_tracked.find(start.server);
  const bool known =
      found != m_tracked.end() && found->second.started_ms == start.started_ms;
  return known ? &found->second : nullptr;
}

PermitExchange::Tracked* PermitExchange::Track(const ServerStart& start) {
  if (Tracked* known = Find(start)) return known;
  const auto server = m_hooks.find_server(start.server);
  if (!server || StartOf(*server) != start.started_ms) return nullptr;
  Tracked tracked{.started_ms = start.started_ms,
                  .load = server->load,
                  .statement = {},
                  .granter = PermitGranter(kGranterHandoverDelay),
                  .main = {},
                  .substitute = {},
                  .held = {},
                  .ask_main_from = Time(0),
                  .removed_at = {}};
  AssignGranters(start.server, tracked);
  return &m_tracked.insert_or_assign(start.server, std::move(tracked))
              .first->second;
}

void PermitExchange::AssignGranters(const ServerId& server, Tracked& tracked) {
  tracked.main = ChooseGranter(server, m_instances);
  tracked.substitute = ChooseSubstitute(server, m_domain, m_instances);
  tracked.ask_main_from = Time(0);
  tracked.granter.SetRole(FindRole(server, m_self, m_instances),
                          m_instances_changed);
}

bool PermitExchange::Apply(const ServerStart& start, Tracked& tracked,
                           const LimitStatement& statement) {
  if (!Supersedes(statement, tracked.statement)) return false;
  const bool was_limited = tracked.statement.limit.has_value();
  tracked.statement = statement;
  tracked.load->limited = statement.limit.has_value();
  if (!statement.limit) tracked.load->withheld_until_ns = 0;
  if (was_limited == statement.limit.has_value()) return false;
  LogEvent(was_limited ? Event::kServerLimitEnded : Event::kServerLimited,
           {{"server", start.server.Text()},
            {"limit_per_s",
             statement.limit ? std::to_string(statement.limit->Count()) : ""},
            {"granter", tracked.main ? tracked.main->Text() : ""},
            {"age_ms", FormatAgeMs(statement.read)}});
  return true;
}

void PermitExchange::OnStatement(const ServerStart& start,
                                 const LimitStatement& statement) {
  Tracked* tracked = statement.limit ? Track(start) : Find(start);
  if (tracked == nullptr) return;
  if (Apply(start, *tracked, statement)) Tell(start, *tracked);
}

void PermitExchange::Tell(const ServerStart& start, const Tracked& tracked) {
  for (const auto& instance : m_instances) {
    if (instance.node == m_self) continue;
    PeerFrame frame;
    frame.kind = wire::Kind::ServerLimits;
    frame.limits.push_back(
        PackLimit(start, tracked.statement, TimeSinceBoot()));
    Spawn(m_executor, "tell of a server's limit",
          Notify(instance.node, std::move(frame)));
  }
}

Awaitable<void> PermitExchange::Notify(NodeId node, PeerFrame notice) {
  // An instance that is not reached learns it when it asks for a permit, or
  // from the server.
  co_await m_hooks.call(std::move(node), std::move(notice));
}

void PermitExchange::ApplyFrame(const PeerFrame& frame) {
  const auto now = TimeSinceBoot();
  for (const auto& packed : frame.limits) {
    if (!packed) continue;
    const auto received = UnpackLimit(*packed, now);
    if (!received) {
      LogEvent(Event::kFrameRejected, {{"detail", received.error().detail}});
      continue;
    }
    const auto& [start, statement, cold_until] = *received;
    Tracked* tracked = statement.limit ? Track(start) : Find(start);
    if (tracked != nullptr) Apply(start, *tracked, statement);
  }
}

PeerFrame PermitExchange::Handle(const PeerFrame& frame) {
  Update();
  if (frame.kind == wire::Kind::AskPermit) return OnAskPermit(frame);
  ApplyFrame(frame);
  PeerFrame answer;
  answer.kind = wire::Kind::Answer;
  return answer;
}

Awaitable<bool> PermitExchange::Acquire(ServerStart start) {
  Update();
  Tracked* tracked = Find(start);
  if (tracked == nullptr || !tracked->statement.limit) co_return true;
  if (tracked->held.Take(TimeSinceBoot())) co_return true;
  const auto asked_at = TimeSinceBoot();
  const bool asks_alone = *tracked->statement.limit <= kMaxSerialLimit;
  if (asks_alone)
    tracked->load->withheld_until_ns = (asked_at + kMaxAskTime).count();
  const auto answer = co_await AskGranters(start);
  tracked = Find(start);
  if (tracked == nullptr || !tracked->statement.limit) co_return true;
  const auto now = TimeSinceBoot();
  if (answer && answer->permits > 0) {
    if (asks_alone) tracked->load->withheld_until_ns = 0;
    tracked->held.Add(answer->permits, asked_at);
    if (tracked->held.Take(now)) co_return true;
  }
  const Time delay = answer ? Time(answer->wait) : Time(kNoGranterDelay);
  tracked->load->withheld_until_ns = (now + delay).count();
  co_return false;
}

Awaitable<std::optional<PermitAnswer>> PermitExchange::AskGranters(
    ServerStart start) {
  Tracked* tracked = Find(start);
  if (tracked->main && TimeSinceBoot() >= tracked->ask_main_from) {
    const NodeId main = *tracked->main;
    const auto answer = co_await Ask(start, main, GranterRole::kMain);
    if (answer) co_return answer;
    tracked = Find(start);
    if (tracked == nullptr) co_return std::nullopt;
    tracked->ask_main_from = TimeSinceBoot() + kFailedGranterBackoff;
  }
  if (!tracked->substitute) co_return std::nullopt;
  const NodeId substitute = *tracked->substitute;
  co_return co_await Ask(start, substitute, GranterRole::kSubstitute);
}

Awaitable<std::optional<PermitAnswer>> PermitExchange::Ask(ServerStart start,
                                                           NodeId granter,
                                                           GranterRole role) {
  if (granter == m_self) co_return Grant(*Find(start), role, m_self);
  const auto backoff = m_backoff_until.find(granter);
  if (backoff != m_backoff_until.end() && TimeSinceBoot() < backoff->second)
    co_return std::nullopt;
  PeerFrame frame;
  frame.kind = wire::Kind::AskPermit;
  frame.limits.push_back(
      PackLimit(start, Find(start)->statement, TimeSinceBoot()));
  frame.permit_source = role == GranterRole::kSubstitute
                            ? wire::PermitSource::Domain
                            : wire::PermitSource::Main;
  const auto answer = co_await m_hooks.call(granter, std::move(frame));
  if (!answer) {
    LogEvent(Event::kPermitGranterUnresponsive,
             {{"granter", granter.Text()},
              {"server", start.server.Text()},
              {"detail", answer.error().detail}});
    m_backoff_until[granter] = TimeSinceBoot() + kFailedGranterBackoff;
    co_return std::nullopt;
  }
  ApplyFrame(*answer);
  // An answer without the server's id means that the instance may not grant.
  if (answer->text != start.server.Text()) co_return std::nullopt;
  PermitAnswer permit;
  permit.permits =
      static_cast<std::uint32_t>(std::min(answer->amount, kMaxPermits));
  permit.wait = Milliseconds(
      static_cast<std::int64_t>(std::min(answer->wait_ms, kMaxWaitMs)));
  co_return permit;
}

std::optional<PermitAnswer> PermitExchange::Grant(Tracked& tracked,
                                                  GranterRole role,
                                                  const NodeId& asker) {
  if (!tracked.statement.limit) return std::nullopt;
  const double share =
      role == GranterRole::kSubstitute ? SubstituteShare(m_instances) : 1;
  return tracked.granter.Ask(role, asker, *tracked.statement.limit, share,
                             TimeSinceBoot());
}

PeerFrame PermitExchange::OnAskPermit(const PeerFrame& frame) {
  PeerFrame answer;
  answer.kind = wire::Kind::Answer;
  if (frame.limits.size() != 1 || !frame.limits[0]) return answer;
  ApplyFrame(frame);
  const wire::LimitStatementT& asked = *frame.limits[0];
  const ServerStart start{ServerId(asked.server), asked.started_ms};
  Tracked* tracked = Find(start);
  if (tracked == nullptr) return answer;
  const auto& limit = tracked->statement.limit;
  if (!limit || limit->Count() != asked.per_s) {
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

}  // namespace cowslipknot
