#include "cowslipknot/gateway/server_registry.h"

#include <algorithm>
#include <set>

namespace cowslipknot::gateway {
namespace {

/// Ends of registrations that are remembered, newest first. Older ones are no
/// longer contradicted by an instance that lags behind.
constexpr std::size_t kMaxRememberedEndings = 1000;
/// Leaving processes that are remembered, latest start first.
constexpr std::size_t kMaxRememberedLeaving = 1000;
/// Heartbeats in the silence limit, and in the shortest outage of the store in
/// which a registration can lapse.
constexpr int kSilenceLimitHeartbeats = 4;
constexpr int kLapseHeartbeats = 2;
/// By how much the end of a cold time may differ between two registrations,
/// since one was read sooner after it was written than the other.
constexpr std::chrono::milliseconds kColdEndTolerance(300);

}  // namespace

bool AffectsRouting(const ServerEntry& earlier, const ServerEntry& later) {
  return earlier.service != later.service || earlier.address != later.address ||
         earlier.domain != later.domain || earlier.version != later.version ||
         earlier.slots != later.slots || earlier.state != later.state ||
         earlier.started_ms != later.started_ms ||
         earlier.reclaimable != later.reclaimable ||
         (earlier.warmup_left.count() > 0) != (later.warmup_left.count() > 0) ||
         // It has turned cold again.
         later.cold_until > earlier.cold_until + kColdEndTolerance;
}

bool ServerRegistry::IsOutdated(const ServerEntry& entry) const {
  if (!entry.position.IsKnown()) return false;
  const auto known = m_entries.find(entry.id);
  if (known != m_entries.end())
    return entry.position < known->second.entry.position;
  const auto ending = m_endings.find(entry.id);
  return ending != m_endings.end() && entry.position < ending->second.position;
}

bool ServerRegistry::IsBroughtBack(const ServerEntry& entry) const {
  const auto ending = m_endings.find(entry.id);
  return ending != m_endings.end() &&
         ending->second.started_ms == entry.started_ms &&
         ending->second.position.era < entry.position.era;
}

bool ServerRegistry::IsOfFormerProcess(const ServerEntry& entry) const {
  const auto known = m_entries.find(entry.id);
  if (known == m_entries.end()) return false;
  const ServerEntry& latest = known->second.entry;
  return latest.position.IsKnown() &&
         latest.position.era < entry.position.era &&
         entry.started_ms < latest.started_ms;
}

void ServerRegistry::RememberEnding(const ServerId& id, const Ending& ending) {
  if (!ending.position.IsKnown()) return;
  m_endings[id] = ending;
  if (m_endings.size() <= kMaxRememberedEndings) return;
  m_endings.erase(std::min_element(m_endings.begin(), m_endings.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second.position <
                                            right.second.position;
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
                                       std::int64_t started_ms, Time now) {
  RememberLeaving(id, started_ms);
  return OnServerLeaving(id, started_ms, now);
}

ServerRegistry::Time ServerRegistry::RunsFrom(const ServerEntry& entry,
                                              Time now) const {
  const Time presumed = now + PresumedRunningAfter();
  const auto known = m_entries.find(entry.id);
  if (known == m_entries.end()) return presumed;
  const ServerEntry& former = known->second.entry;
  const bool is_comparable = former.started_ms == entry.started_ms &&
                             former.position.era == entry.position.era;
  if (!is_comparable) return presumed;
  const bool is_written_again = former.position < entry.position;
  return is_written_again ? std::min(now, known->second.runs_from)
                          : known->second.runs_from;
}

bool ServerRegistry::Put(const ServerEntry& registered, Time now) {
  // Holds for the process, also if a peer's notice has a later position.
  // Without a start time, a later process could not be told apart.
  const bool leaves =
      registered.state == ServerState::kDraining && registered.started_ms > 0;
  if (leaves) RememberLeaving(registered.id, registered.started_ms);
  if (IsOutdated(registered)) return false;
  // The copy lacks the later process, so that this counts as a removal.
  if (IsOfFormerProcess(registered))
    return Remove(registered.id, now, registered.position);
  Registration registration{registered, std::nullopt, std::nullopt,
                            RunsFrom(registered, now)};
  ServerEntry& entry = registration.entry;
  if (IsKnownToLeave(entry)) entry.state = ServerState::kDraining;
  const auto known = m_entries.find(entry.id);
  const bool is_reread = known != m_entries.end() && entry.position.IsKnown() &&
                         known->second.entry.position == entry.position;
  if (is_reread) {
    entry.cold_until = known->second.entry.cold_until;
  } else if (entry.warmup_left.count() > 0) {
    entry.cold_until = now + entry.warmup_left;
  }
  if (IsBroughtBack(entry)) {
    // A further restore writes the row anew, which then lasts as long again.
    const bool waits = known != m_entries.end() &&
                       known->second.unused_until.has_value() &&
                       known->second.entry.position.era == entry.position.era;
    const bool is_rewritten =
        waits && known->second.entry.position < entry.position;
    if (!is_rewritten) {
      registration.unused_until =
          waits ? known->second.unused_until : now + m_silence_limit;
    }
  }
  if (!registration.unused_until) m_endings.erase(entry.id);
  if (known == m_entries.end()) {
    m_entries.emplace(entry.id, registration);
    return true;
  }
  const bool changed = AffectsRouting(known->second.entry, entry) ||
                       known->second.IsUsable() != registration.IsUsable();
  known->second = registration;
  return changed;
}

bool ServerRegistry::Remove(const ServerId& id, Time now,
                            const StorePosition& position) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) return false;
  const bool within_grace = m_grace_until && now < *m_grace_until;
  const bool ready = known->second.entry.state == ServerState::kReady;
  if (within_grace && ready) {
    known->second.lapsed_until = m_grace_until;
    return false;
  }
  const ServerEntry& entry = known->second.entry;
  // Read before a restore, it does not end what was registered after it.
  const bool is_of_earlier_era = position.era < entry.position.era;
  const Ending ending{position, entry.started_ms};
  m_entries.erase(known);
  if (!is_of_earlier_era) RememberEnding(id, ending);
  return true;
}

bool ServerRegistry::OnServerLeaving(const ServerId& id,
                                     std::int64_t started_ms, Time now,
                                     const StorePosition& position) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) {
    // A source that lags behind may list it as ready once more.
    const auto ending = m_endings.find(id);
    if (ending == m_endings.end() || ending->second.position < position)
      RememberEnding(id, {position, started_ms});
    return false;
  }
  ServerEntry& entry = known->second.entry;
  const bool ready = entry.state == ServerState::kReady;
  if (!ready || entry.started_ms != started_ms) return false;
  if (position.IsKnown() && position < entry.position) {
    if (position.era == entry.position.era) return false;
    // Sent before a restore, which may have brought the entry back since.
    RememberEnding(id, {position, started_ms});
    known->second.unused_until = now + m_silence_limit;
    return true;
  }
  entry.state = ServerState::kDraining;
  entry.position = std::max(entry.position, position);
  RememberEnding(id, {entry.position, started_ms});
  return true;
}

bool ServerRegistry::Apply(const std::vector<ServerChange>& changes, Time now) {
  bool changed = false;
  for (const auto& change : changes) {
    const bool entry_changed = change.entry
                                   ? Put(*change.entry, now)
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
    changed = Put(entry, now) || changed;
  }
  std::vector<ServerId> missing;
  for (const auto& [id, known] : m_entries) {
    if (!listed.contains(id) && !known.lapsed_until) missing.push_back(id);
  }
  for (const auto& id : missing) changed = Remove(id, now, position) || changed;
  return changed;
}

void ServerRegistry::OnRead(Time sent) {
  // The store removes a registration after three heartbeats without one; the
  // latest may have come up to one heartbeat before the outage.
  const auto shortest_outage =
      m_silence_limit * kLapseHeartbeats / kSilenceLimitHeartbeats;
  const bool may_have_lapsed = m_failed_read_sent && m_read_sent &&
                               sent - *m_read_sent >= shortest_outage;
  if (may_have_lapsed) {
    m_grace_until = *m_failed_read_sent + m_reregistration_grace;
    for (auto& [id, known] : m_entries)
      known.runs_from =
          std::max(known.runs_from, sent + PresumedRunningAfter());
  }
  m_failed_read_sent.reset();
  m_read_sent = sent;
}

void ServerRegistry::OnRestored(StoreEra era, Time now) {
  if (era <= m_restored_era) return;
  m_restored_era = era;
  m_grace_until = m_failed_read_sent.value_or(now) + m_reregistration_grace;
}

void ServerRegistry::EndGrace(Time now) {
  m_read_sent = now;
  m_failed_read_sent.reset();
  m_grace_until.reset();
  for (auto& [id, known] : m_entries) known.lapsed_until.reset();
}

bool ServerRegistry::ExpireLapsed(Time now, const StorePosition& position) {
  const auto removed = std::erase_if(m_entries, [&](const auto& item) {
    const auto& [id, known] = item;
    if (!known.lapsed_until || now < *known.lapsed_until) return false;
    RememberEnding(id, {position, known.entry.started_ms});
    return true;
  });
  return removed > 0;
}

std::optional<ServerRegistry::Time> ServerRegistry::NextLapse() const {
  std::optional<Time> next;
  for (const auto& [id, known] : m_entries) {
    if (known.lapsed_until && (!next || *known.lapsed_until < *next))
      next = known.lapsed_until;
  }
  return next;
}

bool ServerRegistry::Expire(Time now, const StorePosition& position) {
  bool changed = ExpireLapsed(now, position);
  for (auto& [id, known] : m_entries) {
    if (!known.unused_until || now < *known.unused_until) continue;
    known.unused_until.reset();
    // Others may know the end of the registration at a later position.
    known.entry.position = std::max(known.entry.position, position);
    m_endings.erase(id);
    changed = changed || known.IsUsable();
  }
  return changed;
}

std::vector<ServerEntry> ServerRegistry::UsableServers() const {
  std::vector<ServerEntry> usable;
  for (const auto& [id, known] : m_entries) {
    if (known.IsUsable()) usable.push_back(known.entry);
  }
  return usable;
}

std::vector<ServerEntry> ServerRegistry::RunningServers(Time now) const {
  std::vector<ServerEntry> running;
  for (const auto& [id, known] : m_entries) {
    const bool runs =
        known.IsUsable() && !known.lapsed_until && now >= known.runs_from;
    if (runs) running.push_back(known.entry);
  }
  return running;
}

}  // namespace cowslipknot::gateway
