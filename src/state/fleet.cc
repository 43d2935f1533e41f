#include "cowslipknot/state/fleet.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kMaxMarksOfRemoved = 4096;

ServerBoot ProcessOf(const InstanceRecord& row) {
  return {row.id, static_cast<std::int64_t>(row.incarnation.Count())};
}

/// A server that is listed again runs.
void EndEjection(ServerLoad& load) {
  load.consecutive_failures = 0;
  load.ejected_until_ms = 0;
}

}  // namespace

std::string LeavingKey(const ServerId& server, Incarnation incarnation) {
  return "leaving/" + server.Text() + "/" + std::to_string(incarnation.Count());
}

void Fleet::Apply(const std::vector<InstanceRecord>& rows) {
  for (const auto& row : rows) {
    const auto known = m_records.find(row.id);
    const bool is_newer =
        known == m_records.end() || known->second.incarnation < row.incarnation;
    if (!is_newer && row.incarnation < known->second.incarnation) continue;
    if (is_newer) {
      if (known != m_records.end())
        m_leaving.erase(LeavingKey(row.id, known->second.incarnation));
      const ServerBoot process = ProcessOf(row);
      m_unlisted_loads.OnListed(process, row.address);
      const auto kept = m_unlisted_loads.Take(process);
      if (kept) EndEjection(**kept);
      m_loads[row.id] = kept.value_or(std::make_shared<ServerLoad>());
    }
    m_records[row.id] = row;
    if (row.leaving) m_leaving.insert(LeavingKey(row.id, row.incarnation));
  }
}

void Fleet::Remove(const ServerId& id) {
  const auto known = m_records.find(id);
  if (known == m_records.end()) return;
  std::string mark = LeavingKey(id, known->second.incarnation);
  m_unlisted_loads.Add(ProcessOf(known->second), known->second.address,
                       m_loads.at(id));
  m_records.erase(known);
  m_loads.erase(id);
  // A list that names the server again does not end its leaving.
  if (!m_leaving.contains(mark)) return;
  m_marks_of_removed.push_back(std::move(mark));
  if (m_marks_of_removed.size() <= kMaxMarksOfRemoved) return;
  m_leaving.erase(m_marks_of_removed.front());
  m_marks_of_removed.pop_front();
}

bool Fleet::MarkLeaving(const ServerId& id, Incarnation incarnation) {
  const auto known = m_records.find(id);
  if (known != m_records.end() && incarnation < known->second.incarnation)
    return false;
  return m_leaving.insert(LeavingKey(id, incarnation)).second;
}

std::optional<ServerView> Fleet::Find(const ServerId& id) const {
  const auto known = m_records.find(id);
  if (known == m_records.end()) return std::nullopt;
  return ServerView{known->second, m_loads.at(id)};
}

std::map<PoolId, std::vector<ServerView>> Fleet::Available(
    const std::set<DomainId>& evacuated) const {
  std::map<PoolId, std::vector<ServerView>> available;
  for (const auto& [id, record] : m_records) {
    if (record.kind == "entry" || evacuated.contains(record.domain)) continue;
    if (m_leaving.contains(LeavingKey(id, record.incarnation))) continue;
    available[record.pool].push_back({record, m_loads.at(id)});
  }
  return available;
}

}  // namespace cowslipknot
