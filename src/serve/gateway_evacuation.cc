#include <algorithm>
#include <set>

#include "cowslipknot/events.h"
#include "serve/gateway_control_plane.h"

/// Orders of the operator to evacuate failure domains.
namespace cowslipknot::gateway {

void ControlPlane::ApplyEvacuations(const StoreRows& rows, bool is_full_read) {
  const auto now = TimeSinceBoot();
  const auto before = m_evacuations.Domains();
  bool changed = m_evacuations.Expire(now);
  std::set<DomainId> listed;
  for (const auto& row : rows.rows) {
    const auto domain = m_adapter.evacuated_domain(row.key);
    if (!domain) continue;
    if (row.removed) {
      changed = m_evacuations.Remove(*domain, row.position, now) || changed;
      continue;
    }
    if (domain->Empty()) {
      LogEvent(Event::kConfigurationUnreadable,
               {{"key", row.key}, {"detail", "names no failure domain"}});
      continue;
    }
    listed.insert(*domain);
    changed = m_evacuations.Put(*domain, row.position) || changed;
  }
  if (is_full_read) {
    changed =
        m_evacuations.RemoveUnlisted(listed, rows.position, now) || changed;
  }
  if (!changed) return;
  // Set here, so that it is made up for if logging fails for want of memory.
  m_publication_due = true;
  m_coordinator.SetEvacuated(m_evacuations.Domains());
  LogEvacuations(before);
  Publish();
}

void ControlPlane::LogEvacuations(const std::vector<DomainId>& before) const {
  const auto servers = m_registry.UsableServers();
  const auto count_in = [&servers](const DomainId& domain) {
    return std::count_if(
        servers.begin(), servers.end(),
        [&domain](const auto& entry) { return entry.domain == domain; });
  };
  for (const auto& domain : m_evacuations.Domains()) {
    if (std::find(before.begin(), before.end(), domain) != before.end())
      continue;
    const auto inside = count_in(domain);
    LogEvent(Event::kEvacuationBegun,
             {{"domain", domain.Text()}, {"servers", std::to_string(inside)}});
    // Before the first read of the registrations, no server is known.
    if (inside == 0 && m_servers_known)
      LogEvent(Event::kEvacuationEmpty, {{"domain", domain.Text()}});
  }
  for (const auto& domain : before) {
    if (m_evacuations.Contains(domain)) continue;
    LogEvent(Event::kEvacuationEnded,
             {{"domain", domain.Text()},
              {"servers", std::to_string(count_in(domain))}});
  }
  std::map<ServiceId, std::size_t> left;
  for (const auto& entry : servers) {
    std::size_t& count = left[entry.service];
    if (!IsEvacuated(entry)) ++count;
  }
  for (const auto& [service, count] : left) {
    if (count == 0)
      LogEvent(Event::kEvacuationLeavesNone, {{"service", service.Text()}});
  }
}

}  // namespace cowslipknot::gateway
