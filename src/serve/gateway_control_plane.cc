#include "serve/gateway_control_plane.h"

#include <algorithm>
#include <set>

#include "base/endpoint_text.h"
#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

/// Timeout of a call that waits for configuration changes, as a fraction of the
/// bound on removed keys (Settings::revoke_bound). The rest allows for one more
/// call after a failed one.
constexpr double kConfigurationWaitFraction = 0.6;
constexpr Milliseconds kStoreRetryDelay(150);
/// Time for servers whose registrations expired during a store outage to
/// register again.
constexpr Milliseconds kReregistrationGrace(2000);
/// Heartbeats after whose absence a registration is surely removed: the store
/// waits for three.
constexpr int kSilenceHeartbeats = 4;
/// Number of instances assumed until their reports have been read.
constexpr double kAssumedInstances = 8;
}  // namespace

ControlPlane::ControlPlane(const Settings& settings,
                           const PlatformAdapter& adapter, Worker& worker,
                           asio::io_context& context)
    : m_settings(settings),
      m_adapter(adapter),
      m_worker(worker),
      m_context(context),
      m_registry(kReregistrationGrace,
                 settings.server_heartbeat * kSilenceHeartbeats),
      m_configuration_cursor{adapter.names.configuration_table},
      m_following_ended(context, SteadyClock::time_point::max()),
      m_lapse_timer(context),
      m_report_timer(context),
      m_coordinator(settings, adapter),
      m_relay(settings, context.get_executor(), m_coordinator.StartedMs()) {}

void ControlPlane::Start() {
  m_worker.Links().SetHandler(
      wire::Kind::ServersLeaving, [this](const PeerFrame& frame) {
        asio::post(m_context,
                   [this, frame] { OnServersLeaving(ExtractRecords(frame)); });
        return PeerFrame();
      });
  m_worker.Links().SetHandler(
      wire::Kind::MoveEvidence, [this](const PeerFrame& frame) {
        auto shared = std::make_shared<const PeerFrame>(frame);
        asio::post(m_context, [this, shared] { OnMoveEvidence(*shared); });
        return PeerFrame();
      });
  m_worker.Links().SetHandler(
      wire::Kind::LeavingResponses, [this](const PeerFrame& frame) {
        asio::post(m_context, [this, frame] {
          OnLeavingResponsesOfPeers(ExtractRecords(frame));
        });
        return PeerFrame();
      });
  m_worker.SetLeavingResponseHook([this](const ServerId& server,
                                         std::int64_t started_ms,
                                         std::chrono::nanoseconds read_at) {
    asio::post(m_context, [this, server, started_ms, read_at] {
      OnLeavingResponse(server, started_ms, read_at);
    });
  });
  m_worker.Links().SetAsyncHandler(
      wire::Kind::FollowStore,
      [this](const PeerFrame& frame) -> Awaitable<PeerFrame> {
        PeerFrame request = frame;
        co_return co_await RunOn(m_context.get_executor(),
                                 m_relay.Answer(std::move(request)));
      });
  m_worker.Links().SetAsyncHandler(
      wire::Kind::AskConfiguration,
      [this](const PeerFrame& frame) -> Awaitable<PeerFrame> {
        const std::uint64_t known_version = frame.digest;
        co_return co_await RunOn(m_context.get_executor(),
                                 AnswerConfiguration(known_version));
      });
  const auto executor = m_context.get_executor();
  SpawnLoop(executor, "follow relays", [this] { return FollowRelays(); });
  SpawnLoop(executor, "watch configuration",
            [this] { return WatchConfiguration(); });
  SpawnLoop(executor, "watch servers", [this] { return WatchServers(); });
  SpawnLoop(executor, "exchange reports", [this] { return ExchangeReports(); });
  SpawnLoop(executor, "exchange move evidence",
            [this] { return ExchangeMoveEvidence(); });
}

bool ControlPlane::Ready() const {
  return m_configuration && m_servers_known && m_worker.KeysAreFresh();
}

void ControlPlane::SetStoreReachable(bool reachable,
                                     const std::string& detail) {
  if (!reachable) m_relay.OnStoreLost();
  if (reachable == m_store_reachable) return;
  m_store_reachable = reachable;
  LogEvent(reachable ? Event::kPlatformBack : Event::kPlatformLost,
           {{"detail", detail}});
}

void ControlPlane::ApplyMoveOrders(const StoreRows& rows, bool is_full_read) {
  const auto now = TimeSinceBoot();
  bool changed = m_move_orders.Expire(now);
  if (is_full_read) {
    std::set<std::string> listed;
    for (const auto& row : rows.rows) listed.insert(row.key);
    changed =
        m_move_orders.RemoveUnlisted(listed, rows.position, now) || changed;
  }
  for (const auto& row : rows.rows) {
    if (!m_adapter.is_move_order_key(row.key)) continue;
    if (row.removed) {
      changed = m_move_orders.Remove(row.key, row.position, now) || changed;
      continue;
    }
    auto order = m_adapter.decode_move_order(row.value);
    if (!order) {
      LogEvent(Event::kConfigurationUnreadable,
               {{"key", row.key}, {"detail", order.error().detail}});
      continue;
    }
    order->revision = row.position;
    order->first_seen = WallTime(m_coordinator.SharedNowMs().value_or(0));
    changed = m_move_orders.Put(row.key, std::move(*order), now) || changed;
  }
  if (!changed) return;
  m_coordinator.SetOrders(m_move_orders.ByService());
  Publish();
}

void ControlPlane::ApplyConfiguration(const StoreRows& rows,
                                      bool is_full_read) {
  ApplyMoveOrders(rows, is_full_read);
  ApplyEvacuations(rows, is_full_read);
  for (const auto& row : rows.rows) {
    if (row.key != m_adapter.names.configuration_key || row.removed) continue;
    auto decoded = m_adapter.decode_configuration(row.value);
    m_configuration_readable = decoded.has_value();
    if (!decoded) {
      LogEvent(Event::kConfigurationUnreadable,
               {{"detail", decoded.error().detail}});
      continue;
    }
    InstallConfiguration(std::move(*decoded), row);
  }
}

Awaitable<std::optional<StoreRows>> ControlPlane::ReadChanges(
    TableCursor& cursor, Milliseconds wait) {
  Result<StoreRows> rows = Fail(ResultCode::kInternal);
  cursor.is_full_read = cursor.needs_full_read;
  if (cursor.is_full_read) {
    rows = co_await m_adapter.read_table(cursor.table);
  } else {
    // After a failure, a call without waiting detects the store's recovery
    // sooner.
    const Milliseconds poll_wait =
        cursor.last_call_failed ? Milliseconds(0) : wait;
    rows =
        co_await m_adapter.watch_table(cursor.table, cursor.since, poll_wait);
  }
  cursor.last_call_failed =
      !rows && rows.error().code != ResultCode::kHistoryLost;
  if (rows) {
    if (MoveCursor(cursor, rows->position)) co_return std::move(*rows);
    if (cursor.needs_full_read) co_return std::nullopt;
    // Otherwise the relay that this instance follows has read a later era.
    if (!m_following) SetStoreReachable(false, "response of an earlier era");
  } else if (rows.error().code == ResultCode::kHistoryLost) {
    LogEvent(Event::kHistoryLost, {{"table", cursor.table}});
    cursor.needs_full_read = true;
  } else {
    SetStoreReachable(false, rows.error().detail);
  }
  co_await SleepFor(kStoreRetryDelay);
  co_return std::nullopt;
}

bool ControlPlane::MoveCursor(TableCursor& cursor,
                              const StorePosition& answered) {
  if (!cursor.since.IsKnown() || answered.era == cursor.since.era) {
    // A relay may have sent later changes while the call was under way.
    cursor.since = std::max(cursor.since, answered);
    cursor.needs_full_read = false;
    return true;
  }
  if (answered < cursor.since) return false;
  LogEvent(Event::kStoreRestored, {{"table", cursor.table},
                                   {"known", FormatPosition(cursor.since)},
                                   {"restored", FormatPosition(answered)}});
  // The copy may lack servers that have registered since.
  m_registry.OnRestored(answered.era, TimeSinceBoot());
  SetStoreReachable(true, cursor.table);
  cursor.needs_full_read = !cursor.is_full_read;
  if (cursor.is_full_read) cursor.since = answered;
  return cursor.is_full_read;
}

Awaitable<void> ControlPlane::WatchConfiguration() {
  const auto long_wait = std::chrono::duration_cast<Milliseconds>(
      m_settings.revoke_bound * kConfigurationWaitFraction);
  // Changes that were read before a restart of the loop may not be in force.
  m_configuration_cursor.needs_full_read = true;
  while (true) {
    co_await WhileFollowing();
    const auto sent_at = TimeSinceBoot();
    // Until the other instances are known, this one may turn out to be a relay.
    const bool may_relay =
        m_fleet.serving.empty() || IsRelay() || m_relay.HasFollowers(sent_at);
    const Milliseconds wait =
        may_relay
            ? std::min(long_wait, StoreRelay::ConfigurationPoll(m_settings))
            : long_wait;
    const auto rows = co_await ReadChanges(m_configuration_cursor, wait);
    if (!rows) continue;
    const auto confirmed = m_response_time_bound.EarliestResponseTime(
        sent_at, rows->store_time, rows->position.era);
    const bool is_full_read = m_configuration_cursor.is_full_read;
    ApplyConfiguration(*rows, is_full_read);
    co_await AskBeforeConfirming(rows->position.era);
    OnConfigurationConfirmed(confirmed);
    if (m_configuration && m_configuration_readable)
      m_relay.OnConfiguration(*rows, is_full_read, confirmed);
  }
}

void ControlPlane::OnConfigurationConfirmed(
    std::chrono::nanoseconds confirmed) {
  if (!m_configuration || !m_configuration_readable) return;
  if (m_publication_due) Publish();
  // Posted after the snapshot, so that the traffic thread never treats an older
  // configuration as confirmed.
  asio::post(m_worker.Context(), [this, confirmed] {
    m_worker.OnConfigurationConfirmed(confirmed);
  });
}

void ControlPlane::Publish() {
  m_publication_due = true;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = m_configuration;
  snapshot->routes = m_routes;
  snapshot->servers = BuildBackends();
  for (auto& [service, move] : m_coordinator.Moves()) {
    MovedService& moved = snapshot->moves[service];
    for (const auto& server : snapshot->servers[service]) {
      const bool is_new = server.entry.version == move.order.to;
      (is_new ? moved.new_servers : moved.old_servers).push_back(server);
    }
    moved.move = move;
  }
  const auto now = TimeSinceBoot();
  const auto& serving = m_fleet.serving;
  snapshot->instances = std::max<std::size_t>(1, serving.size());
  for (const auto& instance : serving) {
    const bool other = instance.peers && instance.peers != m_settings.peers;
    if (other) snapshot->peers.push_back(*instance.peers);
  }
  snapshot->known_instances = {serving, m_coordinator.HasRecentPredecessor()};
  const auto in_domain = std::count_if(
      serving.begin(), serving.end(), [this](const InstanceSummary& instance) {
        return instance.domain == m_settings.domain;
      });
  snapshot->instances_in_domain =
      std::max<std::size_t>(1, static_cast<std::size_t>(in_domain));
  if (m_configuration) {
    const double equal_share = 1 / kAssumedInstances;
    for (const auto& [name, workspace] : m_configuration->workspaces) {
      const auto share = m_quota_shares.find(name);
      snapshot->quota_shares[name] =
          share == m_quota_shares.end() ? equal_share : share->second.Current();
      const auto lender_status = m_lender_statuses.find(name);
      const bool lends = lender_status != m_lender_statuses.end() &&
                         lender_status->second.MayLend(now);
      snapshot->lent_shares[name] = lends ? kLenderFraction : 0;
    }
    snapshot->quota_lenders = FindQuotaLenders();
  }
  asio::post(m_worker.Context(),
             [this, snapshot] { m_worker.SetSnapshot(snapshot); });
  m_publication_due = false;
  NoticeReclaims();
}

Awaitable<std::string> ControlPlane::RenderMetrics() {
  auto copy = [](Worker& worker) -> Awaitable<MetricSet> {
    co_return worker.Metrics();
  };
  MetricSet metrics =
      co_await RunOn(m_worker.Context().get_executor(), copy(m_worker));
  AddFailureCounts(metrics);
  co_return metrics.Render();
}

}  // namespace cowslipknot::gateway
