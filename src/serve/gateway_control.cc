#include "serve/gateway_control.h"

#include <algorithm>

#include "base/endpoint_text.h"
#include "cowslipknot/events.h"

namespace cowslipknot::gateway {
namespace {

/// A change of the configuration is waited for in calls of this part of the
/// bound on removed keys: one that fails leaves time for another.
constexpr double kConfigurationWaitPart = 0.6;
constexpr Milliseconds kRetryPause(150);
/// Entries that lapsed in an outage of the store are back within this time.
constexpr Milliseconds kReturnGrace(2000);
/// Instances assumed before their reports have been read.
constexpr double kAssumedInstances = 8;
}  // namespace

Control::Control(const Settings& settings, const Dialect& dialect,
                 Worker& worker, asio::io_context& context)
    : m_settings(settings),
      m_dialect(dialect),
      m_worker(worker),
      m_context(context),
      m_registry(kReturnGrace),
      m_duties(settings, dialect) {}

void Control::Start() {
  m_worker.Links().Handle(
      wire::Kind::ServersLeaving, [this](const PeerFrame& frame) {
        asio::post(m_context,
                   [this, frame] { NoteLeaving(TakeRecords(frame)); });
        return PeerFrame();
      });
  asio::co_spawn(m_context, FollowConfiguration(), asio::detached);
  asio::co_spawn(m_context, FollowServers(), asio::detached);
  asio::co_spawn(m_context, ExchangeReports(), asio::detached);
}

bool Control::Ready() const {
  return m_configuration && m_servers_known && m_worker.KeysAreFresh();
}

void Control::NoteStore(bool reachable, const std::string& detail) {
  if (reachable) {
    m_registry.NoteAnswer(BootTime());
  } else {
    m_registry.NoteOutage();
  }
  if (reachable == m_store_reachable) return;
  m_store_reachable = reachable;
  LogEvent(reachable ? Event::kPlatformBack : Event::kPlatformLost,
           {{"detail", detail}});
}

void Control::ApplyOrders(const StoreRows& rows) {
  bool changed = false;
  for (const auto& row : rows.rows) {
    if (!m_dialect.orders_move(row.key)) continue;
    changed = true;
    if (row.removed) {
      m_orders.erase(row.key);
      continue;
    }
    auto order = m_dialect.decode_move(row.value);
    if (!order) {
      LogEvent(Event::kConfigurationUnreadable,
               {{"key", row.key}, {"detail", order.error().detail}});
      continue;
    }
    order->revision = row.version;
    order->seen = WallTime(m_duties.SharedNowMs().value_or(0));
    const auto known = m_orders.find(row.key);
    const bool same =
        known != m_orders.end() && known->second.revision == order->revision;
    if (!same) m_orders[row.key] = std::move(*order);
  }
  if (!changed) return;
  std::map<ServiceId, MoveOrder> orders;
  for (const auto& [key, order] : m_orders) orders[order.service] = order;
  m_duties.SetOrders(std::move(orders));
  Publish();
}

void Control::ApplyConfiguration(const StoreRows& rows) {
  ApplyOrders(rows);
  for (const auto& row : rows.rows) {
    if (row.key != m_dialect.names.configuration_key || row.removed) continue;
    auto decoded = m_dialect.decode_configuration(row.value);
    m_configuration_readable = decoded.has_value();
    if (!decoded) {
      LogEvent(Event::kConfigurationUnreadable,
               {{"detail", decoded.error().detail}});
      continue;
    }
    if (m_configuration && decoded->version <= m_configuration->version) {
      continue;
    }
    m_configuration =
        std::make_shared<const Configuration>(std::move(*decoded));
    m_routes = std::make_shared<const RouteTable>(*m_configuration);
    LogEvent(Event::kRevisionInForce,
             {{"revision", std::to_string(m_configuration->version)},
              {"routes", std::to_string(m_configuration->routes.size())}});
    Publish();
  }
}

Awaitable<std::optional<StoreRows>> Control::ReadChanges(TableCursor& cursor,
                                                         Milliseconds wait) {
  Result<StoreRows> rows = Fail(ResultCode::kInternal);
  cursor.whole = !cursor.since.has_value();
  if (cursor.whole) {
    rows = co_await m_dialect.read_table(cursor.table);
  } else {
    // After a failure a short call finds the store's return sooner.
    const Milliseconds patience = cursor.failed ? Milliseconds(0) : wait;
    rows =
        co_await m_dialect.follow_table(cursor.table, *cursor.since, patience);
  }
  cursor.failed = !rows.has_value();
  if (rows) {
    cursor.since = rows->version;
    co_return std::move(*rows);
  }
  if (rows.error().code == ResultCode::kHistoryLost) {
    LogEvent(Event::kHistoryLost, {{"table", cursor.table}});
    cursor.since.reset();
  } else {
    NoteStore(false, rows.error().detail);
  }
  co_await SleepFor(kRetryPause);
  co_return std::nullopt;
}

Awaitable<void> Control::FollowConfiguration() {
  TableCursor cursor{m_dialect.names.configuration_table};
  const auto wait = std::chrono::duration_cast<Milliseconds>(
      m_settings.revoke * kConfigurationWaitPart);
  while (true) {
    const auto asked = BootTime();
    const auto rows = co_await ReadChanges(cursor, wait);
    if (!rows) continue;
    const auto confirmed = m_answer_age.AnsweredAfter(asked, rows->store_time);
    ApplyConfiguration(*rows);
    // Posted behind the snapshot, so that traffic never takes an older
    // configuration for confirmed.
    if (m_configuration && m_configuration_readable) {
      asio::post(m_worker.Context(),
                 [this, confirmed] { m_worker.NoteConfirmed(confirmed); });
    }
  }
}

void Control::Publish() {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = m_configuration;
  snapshot->routes = m_routes;
  snapshot->servers = BuildServers();
  for (auto& [service, move] : m_duties.Moves()) {
    MovedService& moved = snapshot->moves[service];
    for (const auto& server : snapshot->servers[service]) {
      const bool is_new = server.entry.version == move.order.to;
      (is_new ? moved.new_servers : moved.old_servers).push_back(server);
    }
    moved.move = move;
  }
  const auto now = BootTime();
  const auto serving = m_duties.Instances().Serving(now);
  snapshot->instances = std::max<std::size_t>(1, serving.size());
  for (const auto* report : serving) {
    const bool other = report->peers && report->peers != m_settings.peers;
    if (other) snapshot->peers.push_back(*report->peers);
  }
  const auto near = std::count_if(serving.begin(), serving.end(),
                                  [this](const InstanceReport* report) {
                                    return report->domain == m_settings.domain;
                                  });
  snapshot->instances_in_domain =
      std::max<std::size_t>(1, static_cast<std::size_t>(near));
  if (m_configuration) {
    const double equal = 1 / kAssumedInstances;
    for (const auto& [name, workspace] : m_configuration->workspaces) {
      const auto share = m_shares.find(name);
      snapshot->shares[name] =
          share == m_shares.end() ? equal : share->second.InForce();
      const auto tenure = m_tenures.find(name);
      const bool lends =
          tenure != m_tenures.end() && tenure->second.MayLend(now);
      snapshot->pooled[name] = lends ? kHomePart : 0;
    }
    snapshot->homes = FindHomes(serving);
  }
  asio::post(m_worker.Context(),
             [this, snapshot] { m_worker.SetSnapshot(snapshot); });
}

Awaitable<std::string> Control::RenderMetrics() {
  auto copy = [](Worker& worker) -> Awaitable<MetricSet> {
    co_return worker.Metrics();
  };
  const MetricSet metrics =
      co_await RunOn(m_worker.Context().get_executor(), copy(m_worker));
  co_return metrics.Render();
}

}  // namespace cowslipknot::gateway
