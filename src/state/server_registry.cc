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
  if (!entry.position.IsKnown()) return false;
  const auto known = m_entries.find(entry.id);
  if (known != m_entries.end())
    return entry.position < known->second.entry.position;
  const auto removed = m_removed_at.find(entry.id);
  return removed != m_removed_at.end() && entry.position <= removed->second;
}

void ServerRegistry::RememberRemoval(const ServerId& id,
                                     const StorePosition& position) {
  if (!position.IsKnown()) return;
  m_removed_at[id] = position;
  if (m_removed_at.size() <= kMaxRememberedRemovals) return;
  m_removed_at.erase(std::min_element(m_removed_at.begin(), m_removed_at.end(),
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
  m_removed_at.erase(entry.id);
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
                            const StorePosition& position) {
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
  RememberRemoval(id, position);
  return true;
}

bool ServerRegistry::OnServerLeaving(const ServerId& id,
                                     std::int64_t started_ms,
                                     const StorePosition& position) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) return false;
  ServerEntry& entry = known->second.entry;
  const bool ready = entry.state == ServerState::kReady;
  if (!ready || entry.started_ms != started_ms) return false;
  if (position.IsKnown() && position < entry.position) return false;
  entry.state = ServerState::kDraining;
  entry.position = std::max(entry.position, position);
  return true;
}

bool ServerRegistry::Apply(const std::vector<ServerChange>& changes, Time now) {
  bool changed = false;
  for (const auto& change : changes) {
    const bool entry_changed = change.entry
                                   ? Put(*change.entry)
                                   : Remove(change.id, now, change.removed_at);
    changed = entry_changed || changed;
  }
  return changed;
}

bool ServerRegistry::Replace(const std::vector<ServerEntry>& entries, Time now,
                             const StorePosition& position) {
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
  for (const auto& id : missing) changed = Remove(id, now, position) || changed;
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
