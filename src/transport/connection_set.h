#pragma once

#include <chrono>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>

#include "cowslipknot/ids.h"
#include "transport/asio.h"

namespace cowslipknot {

/// Connections that wait for input, in the order in which they began to wait.
class ConnectionSet {
 public:
  void Add(beast::tcp_stream& stream) {
    Remove(stream);
    m_waits.push_back({&stream, std::chrono::steady_clock::now()});
    m_positions[&stream] = std::prev(m_waits.end());
  }

  void Remove(beast::tcp_stream& stream) {
    const auto position = m_positions.find(&stream);
    if (position == m_positions.end()) return;
    m_waits.erase(position->second);
    m_positions.erase(position);
  }

  /// Ends their waits.
  void CancelAll() {
    for (const Wait& wait : m_waits) wait.stream->cancel();
  }

  /// Ends the longest wait.
  /// @return false if none has lasted for `min_wait`
  bool CancelLongest(Milliseconds min_wait) {
    if (m_waits.empty()) return false;
    const Wait& longest = m_waits.front();
    const auto waited = std::chrono::steady_clock::now() - longest.since;
    if (waited < min_wait) return false;
    longest.stream->cancel();
    return true;
  }

  std::size_t Count() const { return m_waits.size(); }

 private:
  struct Wait {
    beast::tcp_stream* stream;
    std::chrono::steady_clock::time_point since;
  };
  std::list<Wait> m_waits;
  std::unordered_map<beast::tcp_stream*, std::list<Wait>::iterator> m_positions;
};

/// Has a connection in a set for the lifetime of the object, also when an
/// exception ends the wait.
class ConnectionSetEntry {
 public:
  /// @param set  may be null
  ConnectionSetEntry(std::shared_ptr<ConnectionSet> set,
                     beast::tcp_stream& stream)
      : m_set(std::move(set)), m_stream(stream) {
    if (m_set) m_set->Add(m_stream);
  }
  ConnectionSetEntry(const ConnectionSetEntry&) = delete;
  ConnectionSetEntry& operator=(const ConnectionSetEntry&) = delete;
  ~ConnectionSetEntry() {
    if (m_set) m_set->Remove(m_stream);
  }

 private:
  std::shared_ptr<ConnectionSet> m_set;
  beast::tcp_stream& m_stream;
};

}  // namespace cowslipknot
