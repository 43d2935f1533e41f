#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include "cowslipknot/ids.h"

namespace cowslipknot {

/// Processes that are kept while they are not listed.
inline constexpr std::size_t kMaxUnlistedServers = 4096;

/// Keeps what is known of server processes that are not listed: a listing may
/// lapse, any number of times, while the process runs on.
///
/// A process is forgotten once a later one of its server, or another one at its
/// address, is listed. Of others, the longest unlisted are forgotten when there
/// are too many. A process without a start time is not kept, since it could not
/// be told from the next one.
///
/// Not thread-safe.
template <typename State>
class UnlistedServers {
 public:
  explicit UnlistedServers(std::size_t capacity = kMaxUnlistedServers)
      : m_capacity(capacity) {}

  /// Keeps the state of a process whose listing has ended.
  void Add(const ServerBoot& process, const Endpoint& address, State state) {
    if (process.started_ms == 0) return;
    Erase(process);
    const std::uint64_t order = m_next_order++;
    m_processes.emplace(process, Item{std::move(state), address, order});
    m_by_age.emplace(order, process);
    m_by_address.emplace(address, process);
    if (m_processes.size() <= m_capacity) return;
    const ServerBoot longest_unlisted = m_by_age.begin()->second;
    Erase(longest_unlisted);
  }

  /// Ends the record of a process that is listed again.
  /// @return its state; nothing if it is not known
  std::optional<State> Take(const ServerBoot& process) {
    const auto found = m_processes.find(process);
    if (found == m_processes.end()) return std::nullopt;
    std::optional<State> state(std::move(found->second.state));
    Erase(process);
    return state;
  }

  /// The state of the latest process before this one of the same server, at the
  /// same address; nothing if it is not known.
  std::optional<State> FindFormer(const ServerBoot& process,
                                  const Endpoint& address) const {
    const auto later = m_processes.lower_bound(process);
    if (later == m_processes.begin()) return std::nullopt;
    const auto& [former, item] = *std::prev(later);
    const bool is_same =
        former.server == process.server && item.address == address;
    return is_same ? std::optional<State>(item.state) : std::nullopt;
  }

  /// Forgets the processes that have ended, given that this one is listed.
  void OnListed(const ServerBoot& process, const Endpoint& address) {
    const auto [first, last] = m_by_address.equal_range(address);
    for (auto item = first; item != last;) {
      const ServerBoot former = (item++)->second;
      // A store that is restored may list a former process of the server.
      const bool is_later = former.server == process.server && process < former;
      if (former != process && !is_later) Erase(former);
    }
    const auto earliest = m_processes.lower_bound({process.server, 0});
    for (auto item = earliest;
         item != m_processes.end() && item->first < process;) {
      const ServerBoot former = (item++)->first;
      Erase(former);
    }
  }

  std::size_t Size() const { return m_processes.size(); }

 private:
  struct Item {
    State state;
    Endpoint address;
    std::uint64_t order = 0;  ///< rises with the time of its addition
  };

  void Erase(const ServerBoot& process) {
    const auto found = m_processes.find(process);
    if (found == m_processes.end()) return;
    m_by_age.erase(found->second.order);
    const auto [first, last] = m_by_address.equal_range(found->second.address);
    for (auto item = first; item != last; ++item) {
      if (item->second != process) continue;
      m_by_address.erase(item);
      break;
    }
    m_processes.erase(found);
  }

  std::size_t m_capacity;
  std::uint64_t m_next_order = 0;
  std::map<ServerBoot, Item> m_processes;
  std::map<std::uint64_t, ServerBoot> m_by_age;  ///< longest unlisted first
  std::multimap<Endpoint, ServerBoot> m_by_address;
};

}  // namespace cowslipknot
