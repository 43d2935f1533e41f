#include "serve/gateway_control.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <set>

#include "base/endpoint_text.h"
#include "cowslipknot/events.h"

namespace cowslipknot::gateway {
namespace {

/// A change of the configuration is waited for in calls of this part of the
/// bound on removed keys: one that fails leaves time for another.
constexpr double kConfigurationWaitPart = 0.6;
/// Time between reads of registrations, as part of the bound on a leaving
/// server's last request; the rest is for one call that fails.
constexpr double kServersPausePart = 0.6;
constexpr Milliseconds kReportPause(1500);
/// The holder renews its lease with its reports.
constexpr Milliseconds kHolderPause(1000);
/// While a version is on trial, so that its harm is known to all within three
/// reports.
constexpr Milliseconds kMovePause(1000);
/// Instances beyond which each reports less often, so that the store's load
/// grows with half their number, and the longest pause that usage allows.
constexpr std::size_t kFewInstances = 8;
constexpr Milliseconds kLongestReportPause(3000);
/// A change of the instances is known to all that reach the store after the
/// longest pause and a slow call.
constexpr Milliseconds kHandOver(4000);
/// Reports follow a window's end after this time, spread over the next: the
/// requests of a window are noted by then.
constexpr Milliseconds kReportAfterWindow(100);
constexpr Milliseconds kReportSpread(500);
/// A young process reports this often, so that its part of the limits and its
/// duties are known soon.
constexpr Milliseconds kYoungReportPause(500);
constexpr Milliseconds kYoung(600);
constexpr Milliseconds kRetryPause(150);
/// Entries that lapsed in an outage of the store are back within this time.
constexpr Milliseconds kReturnGrace(2000);
/// Part of a server's memory that is believed to keep prompt parts; the rest
/// is taken by running requests and by what other instances send.
constexpr double kCachePart = 0.5;

/// Instances assumed before their reports have been read.
constexpr double kAssumedInstances = 8;
/// A process this young has not seen its share of the callers.
constexpr Milliseconds kDemandUnknown(4000);

double MeanOf(const std::vector<double>& values) {
  if (values.empty()) return 0;
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return sum / static_cast<double>(values.size());
}

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

void Control::NoteLeaving(const std::vector<SpreadRecord>& servers) {
  bool changed = false;
  for (const auto& server : servers) {
    const bool leaves = m_registry.NoteLeaving(
        ServerId(server.key), static_cast<std::int64_t>(server.version));
    if (!leaves) continue;
    changed = true;
    LogEvent(Event::kServerLeaving, {{"server", server.key}});
  }
  if (changed) Publish();
}

void Control::TellLeaving(const std::vector<ServerEntry>& left) {
  if (left.empty()) return;
  std::vector<SpreadRecord> records;
  for (const auto& server : left) {
    LogEvent(Event::kServerLeaving, {{"server", server.id.Text()}});
    records.push_back(
        {server.id.Text(), static_cast<std::uint64_t>(server.started_ms), {}});
  }
  auto frame = std::make_shared<PeerFrame>();
  frame->kind = wire::Kind::ServersLeaving;
  AddRecords(*frame, records);
  asio::post(m_worker.Context(), [this, frame] {
    m_worker.Links().Broadcast(m_worker.GetSnapshot()->peers, *frame);
  });
}

std::vector<ServerEntry> Control::NoLongerUsable(
    const std::vector<ServerEntry>& before) const {
  std::set<ServerId> usable;
  for (const auto& entry : m_registry.Usable()) usable.insert(entry.id);
  std::vector<ServerEntry> left;
  std::copy_if(
      before.begin(), before.end(), std::back_inserter(left),
      [&](const ServerEntry& entry) { return !usable.contains(entry.id); });
  return left;
}

bool Control::ApplyServers(const StoreRows& rows, bool whole) {
  std::vector<ServerChange> changes;
  std::vector<ServerEntry> entries;
  for (const auto& row : rows.rows) {
    ServerChange change;
    change.id = ServerId(row.key);
    if (!row.removed) {
      auto entry = m_dialect.decode_server(row.key, row.value);
      if (entry) {
        change.entry = *entry;
        entries.push_back(std::move(*entry));
      } else {
        LogEvent(Event::kRegistrationUnreadable,
                 {{"key", row.key}, {"detail", entry.error().detail}});
        continue;
      }
    }
    changes.push_back(std::move(change));
  }
  if (whole) return m_registry.Replace(entries, BootTime());
  return m_registry.Apply(changes, BootTime());
}

Awaitable<void> Control::FollowServers() {
  TableCursor cursor{m_dialect.names.server_table};
  while (true) {
    const auto rows = co_await ReadChanges(cursor, Milliseconds(0));
    if (!rows) continue;
    NoteStore(true, cursor.table);
    const auto before = m_registry.Usable();
    bool changed = ApplyServers(*rows, cursor.whole);
    if (changed && m_servers_known) TellLeaving(NoLongerUsable(before));
    changed = m_registry.Expire(BootTime()) || changed;
    if (changed || !m_servers_known) {
      m_servers_known = true;
      Publish();
    }
    co_await SleepFor(std::chrono::duration_cast<Milliseconds>(
        m_settings.drain * kServersPausePart));
  }
}

std::map<ServiceId, std::vector<Backend>> Control::BuildServers() {
  std::map<ServiceId, std::vector<Backend>> servers;
  decltype(m_states) states;
  for (const auto& entry : m_registry.Usable()) {
    Backend backend;
    backend.entry = entry;
    const Service* service = FindService(entry.service);
    backend.is_model = service != nullptr && service->is_model;
    const auto known = m_states.find(entry.id);
    const bool same =
        known != m_states.end() && known->second.first == entry.started_ms;
    if (same) {
      backend.state = known->second.second;
    } else {
      const double memory =
          service == nullptr
              ? 0
              : static_cast<double>(service->kv_capacity.Count());
      backend.state = std::make_shared<BackendState>(
          TokenCount(static_cast<std::uint64_t>(memory * kCachePart)));
      LogEvent(Event::kServerRegistered,
               {{"server", entry.id.Text()},
                {"service", entry.service.Text()},
                {"address", FormatEndpoint(entry.address)},
                {"domain", entry.domain.Text()},
                {"version", entry.version.Text()}});
    }
    states[entry.id] = {entry.started_ms, backend.state};
    servers[entry.service].push_back(std::move(backend));
  }
  for (const auto& [id, known] : m_states) {
    if (!states.contains(id)) {
      LogEvent(Event::kServerGone, {{"server", id.Text()}});
    }
  }
  m_states = std::move(states);
  return servers;
}

const Service* Control::FindService(const ServiceId& name) const {
  if (!m_configuration) return nullptr;
  const auto found = m_configuration->services.find(name);
  return found == m_configuration->services.end() ? nullptr : &found->second;
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

std::map<WorkspaceId, std::vector<Endpoint>> Control::FindHomes(
    const std::vector<const InstanceReport*>& serving) const {
  std::vector<NodeId> lenders;
  std::map<NodeId, Endpoint> addresses;
  for (const auto* report : serving) {
    if (!report->peers) continue;
    lenders.push_back(report->node);
    addresses[report->node] = *report->peers;
  }
  std::map<WorkspaceId, std::vector<Endpoint>> homes;
  if (lenders.size() < kQuotaHomes) return homes;
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    for (const auto& node : QuotaHomes(name, lenders)) {
      homes[name].push_back(addresses.at(node));
    }
  }
  return homes;
}

void Control::NoteInstances() {
  const std::size_t serving = m_duties.Instances().Serving(BootTime()).size();
  if (serving == m_instances) return;
  m_instances = serving;
  LogEvent(Event::kInstancesKnown, {{"instances", std::to_string(serving)}});
}

void Control::UpdateShares() {
  if (!m_configuration) return;
  const auto serving = m_duties.Instances().Serving(BootTime());
  const auto homes = FindHomes(serving);
  const bool succeeds = m_duties.SucceedsLatePredecessor();
  for (const auto& [name, workspace] : m_configuration->workspaces) {
    const auto home = homes.find(name);
    const bool is_home = home != homes.end() &&
                         std::find(home->second.begin(), home->second.end(),
                                   m_settings.peers) != home->second.end();
    HomeTenure& tenure = m_tenures.try_emplace(name, kHandOver).first->second;
    if (is_home != tenure.IsHome()) {
      LogEvent(Event::kQuotaHomeChanged,
               {{"workspace", name.Text()},
                {"home", is_home ? "true" : "false"},
                {"at_once", succeeds ? "true" : "false"},
                {"instances", std::to_string(serving.size())}});
    }
    tenure.Update(is_home, succeeds, BootTime());
    double own = 0;
    std::vector<double> others;
    for (const auto* report : serving) {
      const auto demand = report->demand.find(name);
      const double value = demand == report->demand.end() ? 0 : demand->second;
      const bool is_self = report->node == m_settings.node &&
                           report->started == m_duties.Started();
      if (is_self) {
        own = value;
      } else {
        others.push_back(value);
      }
    }
    if (BootTime() - m_started < kDemandUnknown) {
      own = std::max(own, MeanOf(others));
    }
    const double kept = home == homes.end() ? 1 : 1 - kPooledPart;
    m_shares[name].Update(kept * QuotaShare(own, others));
  }
}

namespace {

Awaitable<Duties::Input> CollectInput(Worker& worker) {
  Duties::Input input;
  input.demand = worker.Quota().Demand(BootTime());
  input.busy = worker.Load().Busy(BootTime());
  input.usage = std::exchange(worker.Usage(), UsageLedger());
  input.evidence = worker.Evidence();
  co_return input;
}

}  // namespace

Awaitable<void> Control::ExchangeReports() {
  while (true) {
    Duties::Input input = co_await RunOn(m_worker.Context().get_executor(),
                                         CollectInput(m_worker));
    const auto exchanged = co_await m_duties.Exchange(std::move(input));
    const auto clock = m_duties.ClockFromBoot();
    if (clock) m_worker.SetClock(*clock);
    if (exchanged) {
      NoteInstances();
      UpdateShares();
      Publish();
      co_await m_duties.Perform(m_configuration, m_registry.Usable());
    }
    co_await SleepFor(ReportPause());
  }
}

Milliseconds Control::ReportPause() const {
  if (m_duties.IsMoving()) return kMovePause;
  if (m_duties.HoldsLease()) return kHolderPause;
  if (BootTime() - m_started < kYoung) return kYoungReportPause;
  const auto instances = static_cast<Milliseconds::rep>(
      m_duties.Instances().Serving(BootTime()).size());
  const auto few = static_cast<Milliseconds::rep>(kFewInstances);
  const Milliseconds pause = std::clamp(kReportPause * instances / few,
                                        kReportPause, kLongestReportPause);
  const auto now = m_duties.SharedNowMs();
  if (!now) return pause;
  const std::string& node = m_settings.node.Text();
  const Milliseconds offset(static_cast<Milliseconds::rep>(
      XXH3_64bits(node.data(), node.size()) %
      static_cast<std::uint64_t>(kReportSpread.count())));
  return PauseBeforeReport(*now, m_settings.usage_window, pause,
                           kReportAfterWindow + offset);
}

Awaitable<void> Control::Leave() {
  Duties::Input input =
      co_await RunOn(m_worker.Context().get_executor(), CollectInput(m_worker));
  input.stopping = true;
  co_await m_duties.Leave(std::move(input));
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
