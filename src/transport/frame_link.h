#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/memory_budget.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "transport/asio.h"
#include "transport/connection_limit.h"

/// Length-prefixed frames over TCP between instances.
///
/// A call has a connection to itself while it sends one frame and receives one.
/// A call that times out resets its connection, so that the next call replaces
/// a connection that no longer delivers data, and the frame does not arrive
/// after those that follow it.
namespace cowslipknot {

using FrameBytes = std::vector<std::uint8_t>;

inline constexpr std::uint32_t kMaxFrameBytes = 4 << 20;

/// Traffic of one instance's peer connections. Byte counts include framing.
struct LinkTraffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
};

/// Calls peers over pooled connections. Not thread-safe.
class FrameClient {
 public:
  /// @param source  local IP address of the connections
  /// @param memory  bounds the frames of all connections; may be null
  FrameClient(asio::any_io_executor executor, std::string source,
              std::shared_ptr<MemoryBudget> memory = nullptr)
      : m_executor(std::move(executor)),
        m_source(std::move(source)),
        m_memory(std::move(memory)) {}

  /// Sends a frame and waits for the reply.
  Awaitable<Result<FrameBytes>> Call(Endpoint peer, FrameBytes frame,
                                     Milliseconds timeout);

  const LinkTraffic& Traffic() const { return m_traffic; }

 private:
  using StreamPtr = std::unique_ptr<beast::tcp_stream>;

  Awaitable<Result<FrameBytes>> TryCall(const Endpoint& peer,
                                        const FrameBytes& frame,
                                        Milliseconds timeout, bool& reused);

  void CloseIdle(const Endpoint& peer);
  Awaitable<Result<StreamPtr>> Connect(const Endpoint& peer,
                                       Milliseconds timeout);

  asio::any_io_executor m_executor;
  std::string m_source;
  std::shared_ptr<MemoryBudget> m_memory;
  std::map<Endpoint, std::deque<StreamPtr>> m_idle;
  std::size_t m_idle_count = 0;
  LinkTraffic m_traffic;
};

/// Replies to one frame; an empty reply closes the connection.
using FrameHandler =
    std::function<Awaitable<FrameBytes>(const FrameBytes& frame)>;

/// Accepts peer connections until the acceptor is closed. At the limit, the
/// longest idle one is closed; the peer repeats a frame that crosses this.
/// @param memory  bounds the frames of all connections; may be null
/// @param limit   bounds the number of connections; may be null
Awaitable<void> ServeFrames(std::shared_ptr<tcp::acceptor> acceptor,
                            FrameHandler handler,
                            std::shared_ptr<LinkTraffic> traffic,
                            std::shared_ptr<MemoryBudget> memory = nullptr,
                            std::shared_ptr<ConnectionLimit> limit = nullptr);

}  // namespace cowslipknot
