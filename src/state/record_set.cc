#include "cowslipknot/state/record_set.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace cowslipknot {
namespace {

std::uint64_t HashRecord(const GossipRecord& record) {
  const std::uint64_t key = XXH3_64bits(record.key.data(), record.key.size());
  return XXH3_64bits_withSeed(record.payload.data(), record.payload.size(),
                              key + record.version);
}

}  // namespace

bool RecordSet::Merge(const GossipRecord& record) {
  const auto existing = m_records.find(record.key);
  if (existing != m_records.end()) {
    const GossipRecord& current = existing->second;
    if (std::tie(record.version, record.payload) <=
        std::tie(current.version, current.payload)) {
      return false;
    }
    m_digest ^= HashRecord(current);
  }
  m_records[record.key] = record;
  m_digest ^= HashRecord(record);
  m_pending[record.key] = 0;
  return true;
}

const GossipRecord* RecordSet::Find(const std::string& key) const {
  const auto found = m_records.find(key);
  return found == m_records.end() ? nullptr : &found->second;
}

std::vector<GossipRecord> RecordSet::WithPrefix(std::string_view prefix) const {
  std::vector<GossipRecord> matching;
  for (auto entry = m_records.lower_bound(std::string(prefix));
       entry != m_records.end() && entry->first.starts_with(prefix); ++entry) {
    matching.push_back(entry->second);
  }
  return matching;
}

void RecordSet::Erase(const std::string& key) {
  const auto existing = m_records.find(key);
  if (existing == m_records.end()) return;
  m_digest ^= HashRecord(existing->second);
  m_records.erase(existing);
  m_pending.erase(key);
}

std::vector<GossipRecord> RecordSet::All() const { return WithPrefix(""); }

std::vector<GossipRecord> RecordSet::TakeUpdates(std::size_t max_bytes,
                                                 std::uint32_t max_sends) {
  std::vector<std::pair<std::uint32_t, std::string>> order;
  order.reserve(m_pending.size());
  for (const auto& [key, sends] : m_pending) order.emplace_back(sends, key);
  std::sort(order.begin(), order.end());
  std::vector<GossipRecord> taken;
  std::size_t bytes = 0;
  for (const auto& [sends, key] : order) {
    const GossipRecord& record = m_records.at(key);
    const std::size_t size = record.key.size() + record.payload.size();
    if (!taken.empty() && bytes + size > max_bytes) break;
    bytes += size;
    taken.push_back(record);
    if (sends + 1 >= max_sends) {
      m_pending.erase(key);
    } else {
      m_pending[key] = sends + 1;
    }
  }
  return taken;
}

}  // namespace cowslipknot
