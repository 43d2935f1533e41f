#include "cowslipknot/gateway/registration_log.h"

#include <algorithm>
#include <set>

namespace cowslipknot::gateway {
namespace {

/// Removals that are recorded. A follower that lags further behind receives the
/// complete list.
constexpr std::size_t kMaxRecordedRemovals = 500;

}  // namespace

bool RegistrationLog::Update(const std::vector<ServerEntry>& usable,
                             const StorePosition& position) {
  m_position = std::max(m_position, position);
  const std::uint64_t next = m_cursor + 1;
  bool changed = false;
  std::set<ServerId> listed;
  for (const auto& entry : usable) {
    listed.insert(entry.id);
    const auto [known, added] = m_items.try_emplace(entry.id);
    Item& item = known->second;
    const bool affects_routing =
        !item.change.entry || AffectsRouting(*item.change.entry, entry);
    if (!added && !item.change.entry) --m_removed;
    item.change = ServerChange{entry.id, entry, {}};
    if (!affects_routing) continue;
    item.cursor = next;
    changed = true;
  }
  for (auto& [id, item] : m_items) {
    if (!item.change.entry || listed.contains(id)) continue;
    item.change = ServerChange{id, std::nullopt, m_position};
    item.cursor = next;
    ++m_removed;
    changed = true;
  }
  if (changed) m_cursor = next;
  ForgetOldRemovals();
  return changed;
}

void RegistrationLog::ForgetOldRemovals() {
  while (m_removed > kMaxRecordedRemovals) {
    auto oldest = m_items.end();
    for (auto item = m_items.begin(); item != m_items.end(); ++item) {
      if (item->second.change.entry) continue;
      const bool older = oldest == m_items.end() ||
                         item->second.cursor < oldest->second.cursor;
      if (older) oldest = item;
    }
    m_forgotten_cursor = std::max(m_forgotten_cursor, oldest->second.cursor);
    m_items.erase(oldest);
    --m_removed;
  }
}

RegistrationLog::Changes RegistrationLog::Since(std::uint64_t cursor) const {
  Changes result;
  result.cursor = m_cursor;
  result.complete = cursor == 0 || cursor < m_forgotten_cursor;
  for (const auto& [id, item] : m_items) {
    const bool wanted =
        result.complete ? item.change.entry.has_value() : item.cursor > cursor;
    if (wanted) result.changes.push_back(item.change);
  }
  return result;
}

}  // namespace cowslipknot::gateway
