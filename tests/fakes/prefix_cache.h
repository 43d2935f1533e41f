#pragma once

#include <xxhash.h>

#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace cowslipknot::fakes {

/// Prompt blocks that a model engine has read, up to a number of tokens.
class PrefixCache {
 public:
  static constexpr std::size_t kCharsPerToken = 4;

  explicit PrefixCache(std::size_t tokens)
      : m_max_blocks(tokens * kCharsPerToken / kBlockChars) {}

  /// Adds the prompt's blocks and evicts the oldest ones.
  /// @return number of leading prompt tokens that were cached
  std::size_t Add(const std::string& prompt) {
    std::size_t cached_tokens = 0;
    bool hit = true;
    std::uint64_t chain_hash = 0;
    for (std::size_t offset = 0; offset + kBlockChars <= prompt.size();
         offset += kBlockChars) {
      chain_hash =
          XXH3_64bits_withSeed(prompt.data() + offset, kBlockChars, chain_hash);
      hit = hit && m_blocks.contains(chain_hash);
      if (hit) cached_tokens += kBlockChars / kCharsPerToken;
      if (m_blocks.insert(chain_hash).second) m_order.push_back(chain_hash);
    }
    while (m_order.size() > m_max_blocks) {
      m_blocks.erase(m_order.front());
      m_order.pop_front();
    }
    return cached_tokens;
  }

 private:
  static constexpr std::size_t kBlockChars = 64;

  std::size_t m_max_blocks;
  std::set<std::uint64_t> m_blocks;   ///< hashes of each block and those before
  std::deque<std::uint64_t> m_order;  ///< oldest first
};

}  // namespace cowslipknot::fakes
