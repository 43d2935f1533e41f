#include <algorithm>
#include <set>

#include "base/endpoint_text.h"
#include "cowslipknot/events.h"
#include "serve/gateway_control.h"

/// Backend servers: registrations in the store and notices of peers.
namespace cowslipknot::gateway {
namespace {

/// Time between reads of registrations, as part of the bound on a leaving
/// server's last request; the rest is for one call that fails.
constexpr double kServersPausePart = 0.6;
/// Part of a server's memory that is believed to keep prompt parts; the rest
/// is taken by running requests and by what other instances send.
constexpr double kCachePart = 0.5;

}  // namespace

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

}  // namespace cowslipknot::gateway
