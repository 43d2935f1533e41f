#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipknot {

/// One entry of the state that instances spread among themselves.
struct SpreadRecord {
  std::string key;
  std::uint64_t version = 0;
  std::string payload;
};

/// A replicated map in which the highest version of each key wins.
///
/// Merging is commutative, associative and idempotent, so any order,
/// repetition or loss of messages ends in the same state. Two payloads of one
/// version are ordered by their bytes.
class RecordSet {
 public:
  /// @return true if the record was news
  bool Merge(const SpreadRecord& record);

  const SpreadRecord* Find(const std::string& key) const;

  /// Records whose key begins with `prefix`, in key order.
  std::vector<SpreadRecord> WithPrefix(std::string_view prefix) const;

  /// Forgets a key. It comes back if a peer still holds it.
  void Erase(const std::string& key);

  /// All records, for an exchange of whole states.
  std::vector<SpreadRecord> All() const;

  /// Equal for equal states, whatever the order of merges.
  std::uint64_t Digest() const { return m_digest; }

  /// News to pass on, those passed on least often first.
  ///
  /// @param max_bytes   bound on the sum of keys and payloads
  /// @param max_sends   times that each piece of news is returned
  std::vector<SpreadRecord> TakeNews(std::size_t max_bytes,
                                     std::uint32_t max_sends);

  bool HasNews() const { return !m_news.empty(); }
  std::size_t Size() const { return m_records.size(); }

 private:
  std::map<std::string, SpreadRecord> m_records;
  std::map<std::string, std::uint32_t> m_news;  ///< key to times sent
  std::uint64_t m_digest = 0;
};

}  // namespace cowslipknot
