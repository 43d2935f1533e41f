#include "serve/permit_book.h"

#include <algorithm>

#include "base/clock.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

/// Delay until a granter that failed, or may not grant yet, is asked again.
constexpr Milliseconds kFailedGranterBackoff(1000);
constexpr Milliseconds kNoGranterDelay(500);
/// An asker is told of a later end of a server's cold time if it differs by
/// more than what a frame's way adds to it.
constexpr Milliseconds kToldColdDifference(100);
/// Processes that are tracked while they are not listed.
constexpr std::size_t kMaxUnlisted = 1024;
/// Up to this limit, one request asks for a permit at a time. Others would
/// mostly be denied, and all would wait for a granter that does not respond.
constexpr RequestRate kMaxSerialLimit(20);
constexpr std::uint64_t kMaxWaitMs = 10000;
constexpr std::uint64_t kMaxPermits = 1000;

std::string FormatLimit(const LimitStatement& statement) {
  return statement.limit ? std::to_string(statement.limit->Count()) : "";
}

PeerFrame MakeAnswer() {
  PeerFrame answer;
  answer.kind = wire::Kind::Answer;
  return answer;
}

}  // namespace

PermitBook::PermitBook(Identity identity, Hooks hooks)
    : m_self(std::move(identity)), m_hooks(std::move(hooks)) {}

void PermitBook::UpdateServers() {
  for (auto item = m_tracked.begin(); item != m_tracked.end();) {
    const bool keeps = KeepsTrack(item->first, item->second);
    item = keeps ? std::next(item) : m_tracked.erase(item);
  }
  DropLongestUnlisted();
}

void PermitBook::DropLongestUnlisted() {
  const auto is_unlisted = [](const auto& item) {
    return item.second.unlisted_at.has_value();
  };
  auto unlisted = std::ranges::count_if(m_tracked, is_unlisted);
  for (; unlisted > static_cast<std::ptrdiff_t>(kMaxUnlisted); --unlisted) {
    m_tracked.erase(
        std::ranges::min_element(m_tracked, {}, [](const auto& item) {
          return item.second.unlisted_at.value_or(Time::max());
        }));
  }
}

void PermitBook::UpdateInstances(PermitInstances instances) {
  std::erase_if(m_backoff_until, [](const auto& item) {
    return item.second <= TimeSinceBoot();
  });
  m_fraction = instances.fraction;
  if (instances.granters == m_granters) return;
  m_granters = std::move(instances.granters);
  m_roles_since = instances.since;
  for (auto& [start, tracked] : m_tracked) {
    if (instances.voids_roles)
      tracked.granter.SetRole(GranterRole::kNone, m_roles_since);
    AssignGranters(start.server, tracked);
  }
}

bool PermitBook::KeepsTrack(const ServerBoot& start, Tracked& tracked) const {
  const auto now = TimeSinceBoot();
  const auto listed = m_hooks.find_server(start.server);
  if (listed && listed->started_ms == start.started_ms) {
    tracked.unlisted_at.reset();
    tracked.cold_rate = listed->cold_rate;
    Record(start, tracked);
    return true;
  }
  if (listed && listed->started_ms > start.started_ms) return false;
  tracked.unlisted_at = tracked.unlisted_at.value_or(now);
  return tracked.statement.limit || now < tracked.cold_until;
}

PermitBook::Tracked* PermitBook::Find(const ServerBoot& start) {
  const auto found = m_tracked.find(start);
  return found == m_tracked.end() ? nullptr : &found->second;
}

PermitBook::Tracked* PermitBook::Track(const ServerBoot& start) {
  if (Tracked* known = Find(start)) return known;
  const auto listed = m_hooks.find_server(start.server);
  if (listed && listed->started_ms > start.started_ms) return nullptr;
  const bool is_listed = listed && listed->started_ms == start.started_ms;
  Tracked tracked{.statement = {},
                  .cold_until = Time(0),
                  .cold_rate = {},
                  .withheld_until = Time(0),
                  .granter = PermitGranter(kHandOver),
                  .main = {},
                  .substitute = {},
                  .held = {},
                  .ask_main_from = Time(0),
                  .unlisted_at = {}};
  if (is_listed) {
    tracked.cold_rate = listed->cold_rate;
  } else {
    tracked.unlisted_at = TimeSinceBoot();
  }
  AssignGranters(start.server, tracked);
  Tracked* created =
      &m_tracked.emplace(start, std::move(tracked)).first->second;
  DropLongestUnlisted();
  return created;
}

void PermitBook::AssignGranters(const ServerId& server, Tracked& tracked) {
  tracked.main = ChooseGranter(server, m_granters);
  tracked.substitute = ChooseSubstitute(server, m_self.domain, m_granters);
  tracked.ask_main_from = Time(0);
  tracked.granter.SetRole(FindRole(server, m_self.node, m_granters),
                          m_roles_since);
}

std::optional<RequestRate> PermitBook::LimitOf(const Tracked& tracked,
                                               Time now) {
  const auto& stated = tracked.statement.limit;
  if (!tracked.cold_rate || now >= tracked.cold_until) return stated;
  return std::min(*tracked.cold_rate, stated.value_or(*tracked.cold_rate));
}

void PermitBook::Record(const ServerBoot& start, const Tracked& tracked) const {
  PermitState state;
  state.limit = tracked.statement.limit;
  state.cold_until = tracked.cold_until;
  state.cold_rate = tracked.cold_rate;
  state.withheld_until = tracked.withheld_until;
  m_hooks.record(start, state);
}

void PermitBook::Withhold(const ServerBoot& start, Tracked& tracked,
                          Time until) const {
  tracked.withheld_until = until;
  Record(start, tracked);
}

void PermitBook::OnCold(const ServerBoot& start, Time until) {
  if (Tracked* tracked = Track(start)) ExtendCold(start, *tracked, until);
}

void PermitBook::ExtendCold(const ServerBoot& start, Tracked& tracked,
                            Time until) {
  const auto now = TimeSinceBoot();
  if (until <= tracked.cold_until || until <= now) return;
  const bool was_cold = now < tracked.cold_until;
  tracked.cold_until = until;
  Record(start, tracked);
  // The rate becomes known when the process is listed.
  if (was_cold || !tracked.cold_rate) return;
  LogEvent(
      Event::kServerCold,
      {{"server", start.server.Text()},
       {"cold_ms",
        std::to_string(std::chrono::ceil<Milliseconds>(until - now).count())},
       {"permits_per_s", std::to_string(tracked.cold_rate->Count())},
       {"granter", tracked.main ? tracked.main->Text() : ""}});
  m_hooks.count(start.server, PermitEvent::kColdBegun);
}

bool PermitBook::Apply(const ServerBoot& start, Tracked& tracked,
                       const LimitStatement& statement) {
  if (!Supersedes(statement, tracked.statement)) return false;
  const bool was_limited = tracked.statement.limit.has_value();
  tracked.statement = statement;
  if (!statement.limit) tracked.withheld_until = Time(0);
  Record(start, tracked);
  if (was_limited == statement.limit.has_value()) return false;
  LogEvent(was_limited ? Event::kServerLimitEnded : Event::kServerLimited,
           {{"server", start.server.Text()},
            {"limit_per_s", FormatLimit(statement)},
            {"granter", tracked.main ? tracked.main->Text() : ""},
            {"age_ms", FormatAgeMs(statement.read)}});
  if (!was_limited) m_hooks.count(start.server, PermitEvent::kLimitBegun);
  return true;
}

void PermitBook::OnStatement(const ServerBoot& start,
                             const LimitStatement& statement) {
  Tracked* tracked = statement.limit ? Track(start) : Find(start);
  if (tracked == nullptr) return;
  if (Apply(start, *tracked, statement)) Tell(start, *tracked);
}

void PermitBook::Tell(const ServerBoot& start, const Tracked& tracked) {
  m_hooks.tell(tracked.main, [start, statement = tracked.statement] {
    PeerFrame frame;
    frame.kind = wire::Kind::ServerLimits;
    frame.limits.push_back(PackLimit(start, statement, TimeSinceBoot()));
    return frame;
  });
}

std::optional<PeerFrame> PermitBook::BuildNoticeOfGranted() const {
  const auto now = TimeSinceBoot();
  PeerFrame frame;
  frame.kind = wire::Kind::ServerLimits;
  for (const auto& [start, tracked] : m_tracked) {
    const bool tells = tracked.granter.Role() == GranterRole::kMain &&
                       LimitOf(tracked, now).has_value();
    if (!tells) continue;
    frame.limits.push_back(
        PackLimit(start, tracked.statement, now, tracked.cold_until));
  }
  if (frame.limits.empty()) return std::nullopt;
  return frame;
}

void PermitBook::ApplyFrame(const PeerFrame& frame) {
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
    const bool passes_on =
        m_self.tells_by_granter && tracked->main == m_self.node;
    if (passes_on) Tell(start, *tracked);
  }
}

PeerFrame PermitBook::Handle(const PeerFrame& frame) {
  if (frame.kind == wire::Kind::AskPermit) return OnAskPermit(frame);
  ApplyFrame(frame);
  return MakeAnswer();
}

Awaitable<bool> PermitBook::Acquire(ServerBoot start) {
  Tracked* tracked = Find(start);
  if (tracked == nullptr) co_return true;
  const auto asked_at = TimeSinceBoot();
  const auto limit = LimitOf(*tracked, asked_at);
  if (!limit || tracked->held.Take(asked_at)) co_return true;
  const bool asks_alone = *limit <= kMaxSerialLimit;
  // The main granter, then the substitute.
  if (asks_alone) Withhold(start, *tracked, asked_at + 2 * kAskTimeout);
  const auto answer = co_await AskGranters(start);
  tracked = Find(start);
  const auto now = TimeSinceBoot();
  // Its process has ended, and the one that follows may be cold.
  if (tracked == nullptr) co_return false;
  if (!LimitOf(*tracked, now)) co_return true;
  if (answer && answer->permits > 0) {
    m_hooks.count(start.server, PermitEvent::kGranted);
    if (asks_alone) Withhold(start, *tracked, Time(0));
    tracked->held.Add(answer->permits, asked_at);
    if (tracked->held.Take(now)) co_return true;
  }
  if (!answer) m_hooks.count(start.server, PermitEvent::kNoGranter);
  if (answer && answer->permits == 0)
    m_hooks.count(start.server, PermitEvent::kDenied);
  const Time delay = answer ? Time(answer->wait) : Time(kNoGranterDelay);
  Withhold(start, *tracked, now + delay);
  co_return false;
}

Awaitable<std::optional<PermitAnswer>> PermitBook::AskGranters(
    ServerBoot start) {
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

Awaitable<std::optional<PermitAnswer>> PermitBook::Ask(ServerBoot start,
                                                       NodeId granter,
                                                       GranterRole role) {
  if (granter == m_self.node) co_return Grant(*Find(start), role, granter);
  const auto backoff = m_backoff_until.find(granter);
  if (backoff != m_backoff_until.end() && TimeSinceBoot() < backoff->second)
    co_return std::nullopt;
  co_return co_await AskPeer(std::move(start), std::move(granter), role);
}

Awaitable<std::optional<PermitAnswer>> PermitBook::AskPeer(ServerBoot start,
                                                           NodeId peer,
                                                           GranterRole role) {
  const Tracked& tracked = *Find(start);
  PeerFrame frame;
  frame.kind = wire::Kind::AskPermit;
  frame.limits.push_back(
      PackLimit(start, tracked.statement, TimeSinceBoot(), tracked.cold_until));
  frame.permit_source = role == GranterRole::kSubstitute
                            ? wire::PermitSource::Domain
                            : wire::PermitSource::Main;
  const auto answer = co_await m_hooks.call(peer, std::move(frame));
  if (!answer) {
    LogEvent(Event::kPermitGranterUnresponsive,
             {{"granter", peer.Text()},
              {"server", start.server.Text()},
              {"detail", answer.error().detail}});
    m_backoff_until[peer] = TimeSinceBoot() + kFailedGranterBackoff;
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

std::optional<PermitAnswer> PermitBook::Grant(Tracked& tracked,
                                              GranterRole role,
                                              const NodeId& asker) {
  const auto now = TimeSinceBoot();
  const auto limit = LimitOf(tracked, now);
  if (!limit) return std::nullopt;
  const bool is_cold = tracked.cold_rate && now < tracked.cold_until;
  if (is_cold && m_hooks.knows_instances && !m_hooks.knows_instances())
    return std::nullopt;
  const double share =
      role == GranterRole::kSubstitute ? SubstituteShare(m_granters) : 1;
  return tracked.granter.Ask(role, asker, *limit, share * m_fraction, now);
}

PeerFrame PermitBook::OnAskPermit(const PeerFrame& frame) {
  PeerFrame answer = MakeAnswer();
  if (frame.limits.size() != 1 || !frame.limits[0]) return answer;
  ApplyFrame(frame);
  const wire::LimitStatementT& asked = *frame.limits[0];
  const ServerBoot start{ServerId(asked.server), asked.started_ms};
  Tracked* tracked = Find(start);
  if (tracked == nullptr) return answer;
  const auto& stated = tracked->statement.limit;
  const bool agrees = stated.has_value() == asked.limited &&
                      (!stated || stated->Count() == asked.per_s);
  const auto now = TimeSinceBoot();
  const auto asked_cold_until = now + Milliseconds(asked.cold_left_ms);
  if (!agrees || tracked->cold_until > asked_cold_until + kToldColdDifference) {
    answer.limits.push_back(
        PackLimit(start, tracked->statement, now, tracked->cold_until));
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
