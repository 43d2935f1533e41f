#pragma once

#include <functional>
#include <map>
#include <memory>

#include "cowslipknot/gateway/settings.h"
#include "protocol/peer_frame.h"

namespace cowslipknot::gateway {

/// Sends and receives frames between gateway instances. Used on the traffic
/// thread only.
class PeerLinks {
 public:
  /// Handles a frame of one kind and returns the response frame.
  using Handler = std::function<PeerFrame(const PeerFrame&)>;
  /// The same, for a response that takes time.
  using AsyncHandler = std::function<Awaitable<PeerFrame>(const PeerFrame&)>;

  /// @param memory  bounds the frames of all connections
  PeerLinks(asio::any_io_executor executor, const Settings& settings,
            std::shared_ptr<MemoryBudget> memory);

  /// Sets the handler for a kind of frame. Call it before Serve().
  void SetHandler(wire::Kind kind, Handler handler);
  void SetAsyncHandler(wire::Kind kind, AsyncHandler handler) {
    m_handlers[kind] = std::move(handler);
  }
  /// Serves other instances until the acceptor is closed.
  Awaitable<void> Serve(std::shared_ptr<tcp::acceptor> acceptor);

  /// Sends a frame and waits for the response.
  /// @return the response, or kPeerUnreachable or kBadFrame
  Awaitable<Result<PeerFrame>> Call(Endpoint peer, PeerFrame frame,
                                    Milliseconds timeout);
  /// Sends a frame to each peer without waiting; failures are not retried.
  void Broadcast(const std::vector<Endpoint>& peers, const PeerFrame& frame);

 private:
  Awaitable<FrameBytes> HandleFrame(const FrameBytes& bytes);

  const Settings& m_settings;
  asio::any_io_executor m_executor;
  std::shared_ptr<MemoryBudget> m_memory;
  FrameClient m_client;
  std::map<wire::Kind, AsyncHandler> m_handlers;
  std::shared_ptr<LinkTraffic> m_traffic = std::make_shared<LinkTraffic>();
};

}  // namespace cowslipknot::gateway
