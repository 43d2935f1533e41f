#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipknot {

/// One record of the state that instances replicate by gossip.
struct GossipRecord {
  std::string key;
  std::uint64_t version = 0;
  std::string payload;
};

/// A replicated map in which the highest version of each key wins.
///
/// Merging is commutative, associative and idempotent, so replicas converge to
/// the same state when messages are reordered, repeated or lost. Payloads of
/// the same version are ordered bytewise.
class RecordSet {
 public:
  /// @return true if the record was new or replaced an older one
  bool Merge(const GossipRecord& record);

  const GossipRecord* Find(const std::string& key) const;

  /// Records whose key begins with `prefix`, in key order.
  std::vector<GossipRecord> WithPrefix(std::string_view prefix) const;

  /// Removes a key. It reappears if a peer still has it.
  void Erase(const std::string& key);

  /// All records, for a full state exchange.
  std::vector<GossipRecord> All() const;

  /// Hash of the records, independent of the order of merges.
  std::uint64_t Digest() const { return m_digest; }

  /// Returns pending updates to send to peers, those sent least often first.
  ///
  /// @param max_bytes   limit on the total size of keys and payloads; a first
  ///                    update that exceeds it is still returned
  /// @param max_sends   number of times that each update is returned
  std::vector<GossipRecord> TakeUpdates(std::size_t max_bytes,
                                        std::uint32_t max_sends);

  bool HasUpdates() const { return !m_pending.empty(); }
  std::size_t Size() const { return m_records.size(); }

 private:
  std::map<std::string, GossipRecord> m_records;
  /// Number of times that each pending update was sent, by key.
  std::map<std::string, std::uint32_t> m_pending;
  std::uint64_t m_digest = 0;
};

}  // namespace cowslipknot
