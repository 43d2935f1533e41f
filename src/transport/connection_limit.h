#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/log_interval.h"
#include "cowslipknot/ids.h"
#include "transport/asio.h"
#include "transport/connection_set.h"

/// Bounds the connections that a process accepts, so that descriptors are left
/// for those that it opens.
namespace cowslipknot {

/// How many connections of each kind a process may hold. What is left is for
/// files, the store and the listeners of operators.
struct ConnectionShares {
  std::size_t callers = 0;  ///< accepted from callers
  std::size_t servers = 0;  ///< opened to backend servers, also idle ones
  std::size_t peers = 0;    ///< accepted from other instances
};
ConnectionShares DivideDescriptors(std::size_t descriptors);

/// @return the descriptors that the process may open: `configured`, or the
/// limit of the operating system if that is lower
std::size_t AvailableDescriptors(std::size_t configured);

/// Connections of a listener for operators or health checks.
constexpr std::size_t kOperatorConnections = 32;
constexpr std::size_t kUnlimitedConnections =
    std::numeric_limits<std::size_t>::max();

/// What a listener does when it cannot hold another connection.
enum class LimitAction : std::uint8_t {
  kIdleClosed,    ///< the longest idle connection was closed
  kAcceptPaused,  ///< no connection is idle
  kAcceptFailed,  ///< the operating system refused one
};
std::string_view Describe(LimitAction action);

/// Counts the open connections of a listener. Use it on the listener's
/// executor.
class ConnectionLimit : public std::enable_shared_from_this<ConnectionLimit> {
 public:
  /// @param listener  name for the log
  ConnectionLimit(std::string listener, std::size_t max)
      : m_listener(std::move(listener)), m_max(max) {}

  /// Counts as an open connection for its lifetime.
  class Slot {
   public:
    explicit Slot(std::shared_ptr<ConnectionLimit> limit);
    Slot(Slot&&) = default;
    Slot& operator=(Slot&&) = delete;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    ~Slot();

   private:
    std::shared_ptr<ConnectionLimit> m_limit;
  };
  Slot Open() { return Slot(shared_from_this()); }

  std::size_t OpenCount() const { return m_open; }
  bool Exceeded() const { return m_open > m_max; }
  /// Waits until a connection ends, at most for `timeout`.
  Awaitable<void> WaitForEnd(Milliseconds timeout);

  /// Logs an action at a bounded rate and reports it to the observer.
  void Record(LimitAction action, const std::string& detail);
  /// Called for each action, for metrics.
  void SetObserver(std::function<void(LimitAction)> observer) {
    m_observer = std::move(observer);
  }

  /// Stops accepting. Connections that the operating system has already
  /// accepted are served; closing the listener alone would reset them.
  void CloseListener() {
    if (m_close) m_close();
  }
  void SetCloseHandler(std::function<void()> close) {
    m_close = std::move(close);
  }

 private:
  std::string m_listener;
  std::size_t m_max;
  std::size_t m_open = 0;
  std::weak_ptr<asio::steady_timer> m_waiting;
  std::map<LimitAction, LogInterval> m_logs;
  std::function<void(LimitAction)> m_observer;
  std::function<void()> m_close;
};

using ConnectionHandler =
    std::function<void(tcp::socket, ConnectionLimit::Slot)>;

/// Accepts connections until the acceptor is closed. Above the limit, the
/// longest idle connection is closed; while none is idle, none is accepted.
Awaitable<void> AcceptConnections(std::shared_ptr<tcp::acceptor> acceptor,
                                  std::shared_ptr<ConnectionLimit> limit,
                                  std::shared_ptr<ConnectionSet> idle,
                                  ConnectionHandler serve);

}  // namespace cowslipknot
