#include <algorithm>
#include <set>

#include "base/endpoint_text.h"
#include "cowslipknot/events.h"
#include "serve/follow_codec.h"
#include "serve/gateway_control_plane.h"

/// Tracks backend servers by their registrations in the store and notices from
/// other instances.
namespace cowslipknot::gateway {
namespace {

/// Estimated fraction of a server's KV cache that holds prompt prefixes sent by
/// this instance. Running requests and other instances' prompts use the rest.
constexpr double kPrefixCacheFraction = 0.5;

/// Leaving servers of which instances that start later are notified.
constexpr std::size_t kMaxAnnouncedLeaving = 64;

std::shared_ptr<PeerFrame> BuildLeavingNotice(
    const std::map<ServerId, std::int64_t>& starts) {
  std::vector<GossipRecord> records;
  records.reserve(starts.size());
  for (const auto& [server, started_ms] : starts) {
    records.push_back(
        {server.Text(), static_cast<std::uint64_t>(started_ms), std::string()});
  }
  auto frame = std::make_shared<PeerFrame>();
  frame->kind = wire::Kind::LeavingResponses;
  AddRecords(*frame, records);
  return frame;
}

/// @return nothing for a notice that is rejected
std::optional<std::int64_t> AcceptStart(const GossipRecord& notice) {
  const auto started_ms = UnpackStart(notice);
  if (started_ms) return *started_ms;
  LogEvent(Event::kFrameRejected,
           {{"server", notice.key}, {"detail", started_ms.error().detail}});
  return std::nullopt;
}

}  // namespace

void ControlPlane::OnServersLeaving(const std::vector<GossipRecord>& servers) {
  bool changed = false;
  for (const auto& server : servers) {
    const StorePosition position =
        ParsePosition(server.payload).value_or(StorePosition{});
    const auto started_ms = AcceptStart(server);
    const bool leaves = started_ms && m_registry.OnServerLeaving(
                                          ServerId(server.key), *started_ms,
                                          TimeSinceBoot(), position);
    if (!leaves) continue;
    changed = true;
    LogEvent(Event::kServerLeaving, {{"server", server.key}});
  }
  if (!changed) return;
  RelayServers();
  Publish();
}

void ControlPlane::OnLeavingResponse(const ServerId& server,
                                     std::int64_t started_ms,
                                     std::chrono::nanoseconds read_at) {
  if (!m_registry.OnLeavingResponse(server, started_ms, TimeSinceBoot()))
    return;
  LogEvent(Event::kServerLeaving,
           {{"server", server.Text()}, {"age_ms", FormatAgeMs(read_at)}});
  m_leaving_responses[server] = started_ms;
  if (m_leaving_responses.size() > kMaxAnnouncedLeaving) {
    m_leaving_responses.erase(
        std::min_element(m_leaving_responses.begin(), m_leaving_responses.end(),
                         [](const auto& left, const auto& right) {
                           return left.second < right.second;
                         }));
  }
  const auto frame = BuildLeavingNotice({{server, started_ms}});
  BroadcastLeaving(frame);
  RelayServers();
  Publish();
}

void ControlPlane::BroadcastLeaving(std::shared_ptr<const PeerFrame> frame) {
  asio::post(m_worker.Context(), [this, frame = std::move(frame),
                                  silent = m_silent_peers.Addresses()] {
    m_worker.Links().Broadcast(m_worker.GetSnapshot()->peers, *frame);
    m_worker.Links().Broadcast(silent, *frame);
  });
}

void ControlPlane::UpdateSilentPeers() {
  std::set<Endpoint> reporting;
  for (const auto& instance : m_fleet.serving) {
    if (instance.peers && instance.peers != m_settings.peers)
      reporting.insert(*instance.peers);
  }
  m_silent_peers.Update(std::move(reporting), TimeSinceBoot());
}

void ControlPlane::NotifyNewInstances() {
  const std::set<InstanceSummary> serving(m_fleet.serving.begin(),
                                          m_fleet.serving.end());
  std::vector<Endpoint> added;
  for (const auto& instance : serving) {
    const bool other = instance.peers && instance.peers != m_settings.peers;
    if (other && !m_notified_instances.contains(instance))
      added.push_back(*instance.peers);
  }
  m_notified_instances = serving;
  if (added.empty() || m_leaving_responses.empty()) return;
  const auto frame = BuildLeavingNotice(m_leaving_responses);
  asio::post(m_worker.Context(), [this, frame, added] {
    m_worker.Links().Broadcast(added, *frame);
  });
}

void ControlPlane::OnLeavingResponsesOfPeers(
    const std::vector<GossipRecord>& servers) {
  bool changed = false;
  for (const auto& server : servers) {
    const auto started_ms = AcceptStart(server);
    const bool leaves =
        started_ms && m_registry.OnLeavingResponse(
                          ServerId(server.key), *started_ms, TimeSinceBoot());
    if (!leaves) continue;
    changed = true;
    LogEvent(Event::kServerLeaving, {{"server", server.key}});
  }
  if (!changed) return;
  RelayServers();
  Publish();
}

void ControlPlane::AnnounceLeavingServers(
    const std::vector<ServerEntry>& removed_servers) {
  if (removed_servers.empty()) return;
  std::vector<GossipRecord> records;
  for (const auto& server : removed_servers) {
    LogEvent(Event::kServerLeaving, {{"server", server.id.Text()}});
    records.push_back({server.id.Text(),
                       static_cast<std::uint64_t>(server.started_ms),
                       FormatPosition(m_servers_position)});
  }
  auto frame = std::make_shared<PeerFrame>();
  frame->kind = wire::Kind::ServersLeaving;
  AddRecords(*frame, records);
  BroadcastLeaving(frame);
}

std::vector<ServerEntry> ControlPlane::FindRemovedServers(
    const std::vector<ServerEntry>& before) const {
  std::set<ServerId> usable;
  for (const auto& entry : m_registry.UsableServers()) usable.insert(entry.id);
  std::vector<ServerEntry> removed_servers;
  std::copy_if(
      before.begin(), before.end(), std::back_inserter(removed_servers),
      [&](const ServerEntry& entry) { return !usable.contains(entry.id); });
  return removed_servers;
}

bool ControlPlane::ApplyServers(const StoreRows& rows, bool is_full_read) {
  std::vector<ServerChange> changes;
  std::vector<ServerEntry> entries;
  for (const auto& row : rows.rows) {
    ServerChange change;
    change.id = ServerId(row.key);
    change.removed_at = row.position;
    if (!row.removed) {
      auto entry = m_adapter.decode_server(row.key, row.value);
      if (entry) {
        entry->position = row.position;
        change.entry = *entry;
        entries.push_back(std::move(*entry));
      } else if (m_unreadable_rows.ShouldLog(row.key, TimeSinceBoot())) {
        // Without an entry, the row names no server, as in a full read.
        LogEvent(Event::kRegistrationUnreadable,
                 {{"key", row.key}, {"detail", entry.error().detail}});
      }
    }
    changes.push_back(std::move(change));
  }
  m_servers_position = rows.position;
  if (is_full_read)
    return m_registry.Replace(entries, TimeSinceBoot(), rows.position);
  return m_registry.Apply(changes, TimeSinceBoot());
}

Awaitable<void> ControlPlane::WatchServers() {
  TableCursor cursor{m_adapter.names.server_table};
  while (true) {
    // A relay's changes have no position in the store's.
    if (m_following) cursor.needs_full_read = true;
    co_await WhileFollowing();
    // A restore that the relay has told of is not a new one.
    cursor.since = std::max(cursor.since, m_servers_position);
    const auto sent_at = TimeSinceBoot();
    const auto rows = co_await ReadChanges(cursor, Milliseconds(0));
    // A relay has sent later registrations while the call was under way.
    if (m_following) continue;
    if (!rows) {
      if (cursor.last_call_failed) m_registry.OnReadFailed(sent_at);
      continue;
    }
    SetStoreReachable(true, cursor.table);
    m_registry.OnRead(sent_at);
    m_relay.OnRegistrationsRead(sent_at);
    const auto before = m_registry.UsableServers();
    // Until what was read is published, also if an exception restarts the loop.
    const bool was_due = std::exchange(m_publication_due, true);
    bool changed = ApplyServers(*rows, cursor.is_full_read);
    if (changed && m_servers_known)
      AnnounceLeavingServers(FindRemovedServers(before));
    changed = m_registry.Expire(TimeSinceBoot(), m_servers_position) || changed;
    ScheduleLapse();
    RelayServers();
    if (changed || !m_servers_known || was_due) {
      m_servers_known = true;
      Publish();
    }
    m_publication_due = false;
    co_await SleepFor(StoreRelay::RegistrationsInterval(m_settings));
  }
}

void ControlPlane::ScheduleLapse() {
  const auto next = m_registry.NextLapse();
  if (!next) return;
  m_lapse_timer.expires_after(
      std::max(*next - TimeSinceBoot(), std::chrono::nanoseconds(0)));
  m_lapse_timer.async_wait([this](error_code error) {
    if (error) return;
    if (m_registry.ExpireLapsed(TimeSinceBoot(), m_servers_position)) {
      RelayServers();
      Publish();
    }
    ScheduleLapse();
  });
}

void ControlPlane::RelayServers() {
  m_relay.OnRegistrations(m_registry.UsableServers(), m_servers_position);
}

ControlPlane::KnownBackend ControlPlane::FindOrCreateBackend(
    const ServerEntry& entry, const Service* service) {
  const ServerBoot process{entry.id, entry.started_ms};
  const auto known = m_backends.find(entry.id);
  if (known != m_backends.end() && known->second.process == process)
    return {process, entry.address, known->second.state};
  LogEvent(Event::kServerRegistered,
           {{"server", entry.id.Text()},
            {"service", entry.service.Text()},
            {"address", FormatEndpoint(entry.address)},
            {"domain", entry.domain.Text()},
            {"version", entry.version.Text()}});
  const auto former = FindFormerState(process, entry.address);
  m_unregistered_backends.OnListed(process, entry.address);
  if (const auto kept = m_unregistered_backends.Take(process)) {
    asio::post(m_worker.Context(), [state = *kept] { state->RecordReturn(); });
    return {process, entry.address, *kept};
  }
  const double memory = service == nullptr
                            ? 0
                            : static_cast<double>(service->kv_capacity.Count());
  const TokenCount cache(
      static_cast<std::uint64_t>(memory * kPrefixCacheFraction));
  auto state = std::make_shared<BackendState>(cache, TimeSinceBoot());
  if (former) {
    Backend listed;
    listed.entry = entry;
    listed.state = state;
    asio::post(m_worker.Context(), [this, former, listed] {
      m_worker.ApplyEarlierNotices(*former, listed);
    });
  }
  return {process, entry.address, std::move(state)};
}

std::shared_ptr<BackendState> ControlPlane::FindFormerState(
    const ServerBoot& process, const Endpoint& address) const {
  const auto known = m_backends.find(process.server);
  if (known == m_backends.end())
    return m_unregistered_backends.FindFormer(process, address)
        .value_or(nullptr);
  const bool is_former =
      known->second.process < process && known->second.address == address;
  return is_former ? known->second.state : nullptr;
}

void ControlPlane::KeepUnregistered(const KnownBackends& registered) {
  std::vector<std::shared_ptr<BackendState>> kept;
  for (const auto& [id, known] : m_backends) {
    const auto listed = registered.find(id);
    if (listed == registered.end())
      LogEvent(Event::kServerGone, {{"server", id.Text()}});
    const bool is_listed =
        listed != registered.end() && listed->second.process == known.process;
    if (is_listed) continue;
    known.state->SetAvailable(false);
    m_unregistered_backends.Add(known.process, known.address, known.state);
    kept.push_back(known.state);
  }
  if (kept.empty()) return;
  for (const auto& [id, listed] : registered)
    m_unregistered_backends.OnListed(listed.process, listed.address);
  asio::post(m_worker.Context(), [kept] {
    for (const auto& state : kept) state->ForgetPrompts();
  });
}

std::map<ServiceId, std::vector<Backend>> ControlPlane::BuildBackends() {
  std::map<ServiceId, std::vector<Backend>> servers;
  KnownBackends registered;
  for (const auto& entry : m_registry.UsableServers()) {
    Backend backend;
    backend.entry = entry;
    const Service* service = FindService(entry.service);
    backend.is_model = service != nullptr && service->is_model;
    if (service != nullptr && service->cold) {
      const WarmupEvidence evidence{entry.cold_until,
                                    m_evacuations.EndedAt(entry.domain)};
      backend.cold_until = ColdUntil(evidence, *service->cold);
      backend.cold_duration = service->cold->duration;
      backend.cold_rate =
          ColdPermitRate(*service->cold, m_settings.cold_overage);
    }
    KnownBackend known = FindOrCreateBackend(entry, service);
    backend.state = known.state;
    registered[entry.id] = std::move(known);
    const bool is_evacuated = IsEvacuated(entry);
    backend.state->SetAvailable(!is_evacuated);
    if (is_evacuated) continue;
    servers[entry.service].push_back(std::move(backend));
  }
  KeepUnregistered(registered);
  m_backends = std::move(registered);
  return servers;
}

const Service* ControlPlane::FindService(const ServiceId& name) const {
  if (!m_configuration) return nullptr;
  const auto found = m_configuration->services.find(name);
  return found == m_configuration->services.end() ? nullptr : &found->second;
}

}  // namespace cowslipknot::gateway
