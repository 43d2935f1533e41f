#include "cowslipknot/gateway/server_registry.h"

#include <algorithm>
#include <set>

namespace cowslipknot::gateway {
namespace {

/// Removals that are remembered, newest first. Older ones are no longer
/// contradicted by an instance that lags behind.
constexpr std::size_t kMaxRememberedRemovals = 1000;
/// Leaving processes that are remembered, latest start first.
constexpr std::size_t kMaxRememberedLeaving = 1000;

}  // namespace

bool AffectsRouting(const ServerEntry& left, const ServerEntry& right) {
  return left.service != right.service || left.address != right.address ||
         left.domain != right.domain || left.version != right.version ||
         left.slots != right.slots || left.state != right.state ||
         left.started_ms != right.started_ms ||
         left.reclaimable != right.reclaimable ||
         (left.warmup_left.count() > 0) != (right.warmup_left.count() > 0);
}

bool ServerRegistry::IsOutdated(const ServerEntry& entry) const {
  if (entry.row_version == 0) return false;
  const auto known = m_entries.find(entry.id);
  if (known != m_entries.end())
    return entry.row_version < known->second.entry.row_version;
  const auto removed = m_removed_versions.find(entry.id);
  return removed != m_removed_versions.end() &&
         entry.row_version <= removed->second;
}

void ServerRegistry::RememberRemoval(const ServerId& id,
                                     std::uint64_t version) {
  if (version == 0) return;
  m_removed_versions[id] = version;
  if (m_removed_versions.size() <= kMaxRememberedRemovals) return;
  m_removed_versions.erase(
      std::min_element(m_removed_versions.begin(), m_removed_versions.end(),
                       [](const auto& left, const auto& right) {
                         return left.second < right.second;
                       }));
}

void ServerRegistry::RememberLeaving(const ServerId& id,
                                     std::int64_t started_ms) {
  std::int64_t& latest = m_leaving_starts[id];
  latest = std::max(latest, started_ms);
  if (m_leaving_starts.size() <= kMaxRememberedLeaving) return;
  m_leaving_starts.erase(
      std::min_element(m_leaving_starts.begin(), m_leaving_starts.end(),
                       [](const auto& left, const auto& right) {
                         return left.second < right.second;
                       }));
}

bool ServerRegistry::IsKnownToLeave(const ServerEntry& entry) const {
  const auto leaving = m_leaving_starts.find(entry.id);
  return leaving != m_leaving_starts.end() &&
         entry.started_ms <= leaving->second;
}

bool ServerRegistry::OnLeavingResponse(const ServerId& id,
                                       std::int64_t started_ms) {
  RememberLeaving(id, started_ms);
  return OnServerLeaving(id, started_ms);
}

bool ServerRegistry::Put(const ServerEntry& registered) {
  if (IsOutdated(registered)) return false;
  ServerEntry entry = registered;
  if (IsKnownToLeave(entry)) entry.state = ServerState::kDraining;
  m_removed_versions.erase(entry.id);
  const auto known = m_entries.find(entry.id);
  if (known == m_entries.end()) {
    m_entries.emplace(entry.id, Registration{entry, std::nullopt});
    return true;
  }
  const bool changed = AffectsRouting(known->second.entry, entry);
  known->second = Registration{entry, std::nullopt};
  return changed;
}

bool ServerRegistry::Remove(const ServerId& id, Time now,
                            std::uint64_t version) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) return false;
  const bool within_grace =
      m_store_recovered_at &&
      now < *m_store_recovered_at + m_reregistration_grace;
  const bool ready = known->second.entry.state == ServerState::kReady;
  if (within_grace && ready) {
    known->second.lapsed_until = *m_store_recovered_at + m_reregistration_grace;
    return false;
  }
  m_entries.erase(known);
  RememberRemoval(id, version);
  return true;
}

bool ServerRegistry::OnServerLeaving(const ServerId& id,
                                     std::int64_t started_ms,
                                     std::uint64_t version) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) return false;
  ServerEntry& entry = known->second.entry;
  const bool ready = entry.state == ServerState::kReady;
  if (!ready || entry.started_ms != started_ms) return false;
  if (version > 0 && version < entry.row_version) return false;
  entry.state = ServerState::kDraining;
  entry.row_version = std::max(entry.row_version, version);
  return true;
}

bool ServerRegistry::Apply(const std::vector<ServerChange>& changes, Time now) {
  bool changed = false;
  for (const auto& change : changes) {
    const bool entry_changed =
        change.entry ? Put(*change.entry)
                     : Remove(change.id, now, change.removed_version);
    changed = entry_changed || changed;
  }
  return changed;
}

bool ServerRegistry::Replace(const std::vector<ServerEntry>& entries, Time now,
                             std::uint64_t version) {
  std::set<ServerId> listed;
  bool changed = false;
  for (const auto& entry : entries) {
    listed.insert(entry.id);
    changed = Put(entry) || changed;
  }
  std::vector<ServerId> missing;
  for (const auto& [id, known] : m_entries) {
    if (!listed.contains(id) && !known.lapsed_until) missing.push_back(id);
  }
  for (const auto& id : missing) changed = Remove(id, now, version) || changed;
  return changed;
}

void ServerRegistry::OnStoreAvailable(Time now) {
  if (m_store_unavailable) m_store_recovered_at = now;
  m_store_unavailable = false;
}

void ServerRegistry::EndGrace() {
  m_store_unavailable = false;
  m_store_recovered_at.reset();
  for (auto& [id, known] : m_entries) known.lapsed_until.reset();
}

bool ServerRegistry::Expire(Time now) {
  const auto removed = std::erase_if(m_entries, [now](const auto& item) {
    return item.second.lapsed_until && now >= *item.second.lapsed_until;
  });
  return removed > 0;
}

std::vector<ServerEntry> ServerRegistry::UsableServers() const {
  std::vector<ServerEntry> usable;
  for (const auto& [id, known] : m_entries) {
    if (known.entry.state == ServerState::kReady) usable.push_back(known.entry);
  }
  return usable;
}

}  // namespace cowslipknot::gateway
