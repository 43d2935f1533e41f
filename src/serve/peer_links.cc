#include "serve/peer_links.h"

#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot::gateway {
namespace {

/// A notice that is not delivered within this time is too stale to be useful.
constexpr Milliseconds kBroadcastTimeout(500);
/// Instances on the managed platform have no shared secret.
constexpr char kNoToken[] = "";

}  // namespace

PeerLinks::PeerLinks(asio::any_io_executor executor, const Settings& settings,
                     std::shared_ptr<MemoryBudget> memory)
    : m_settings(settings),
      m_executor(executor),
      m_memory(std::move(memory)),
      m_client(std::move(executor),
               settings.peers ? settings.peers->host : std::string(),
               m_memory) {}

void PeerLinks::SetHandler(wire::Kind kind, Handler handler) {
  m_handlers[kind] = [handler = std::move(handler)](
                         const PeerFrame& frame) -> Awaitable<PeerFrame> {
    co_return handler(frame);
  };
}

Awaitable<Result<PeerFrame>> PeerLinks::Call(Endpoint peer, PeerFrame frame,
                                             Milliseconds timeout) {
  frame.token = kNoToken;
  frame.sender = m_settings.node.Text();
  FrameBytes bytes = EncodeFrame(frame);
  const auto answer =
      co_await m_client.Call(std::move(peer), std::move(bytes), timeout);
  if (!answer) co_return tl::make_unexpected(answer.error());
  co_return DecodeFrame(*answer, kNoToken);
}

void PeerLinks::Broadcast(const std::vector<Endpoint>& peers,
                          const PeerFrame& frame) {
  const auto shared = std::make_shared<const FrameBytes>(EncodeFrame(frame));
  for (const auto& peer : peers) {
    Spawn(m_executor, "broadcast",
          [](PeerLinks& links, Endpoint to,
             std::shared_ptr<const FrameBytes> bytes) -> Awaitable<void> {
            // A peer that is not reached reads the change from the store.
            co_await links.m_client.Call(to, *bytes, kBroadcastTimeout);
          }(*this, peer, shared));
  }
}

Awaitable<FrameBytes> PeerLinks::HandleFrame(const FrameBytes& bytes) {
  const auto frame = DecodeFrame(bytes, kNoToken);
  if (!frame) {
    LogEvent(Event::kFrameRejected, {{"detail", frame.error().detail}});
    co_return FrameBytes();
  }
  const auto handler = m_handlers.find(frame->kind);
  if (handler == m_handlers.end()) {
    LogEvent(Event::kFrameRejected, {{"detail", "unexpected frame kind"}});
    co_return FrameBytes();
  }
  PeerFrame answer = co_await handler->second(*frame);
  answer.kind = wire::Kind::Answer;
  answer.sender = m_settings.node.Text();
  co_return EncodeFrame(answer);
}

Awaitable<void> PeerLinks::Serve(std::shared_ptr<tcp::acceptor> acceptor) {
  const std::size_t descriptors =
      AvailableDescriptors(m_settings.max_descriptors);
  auto limit = std::make_shared<ConnectionLimit>(
      "peers", DivideDescriptors(descriptors).peers);
  co_await ServeFrames(
      std::move(acceptor),
      [this](const FrameBytes& bytes) { return HandleFrame(bytes); }, m_traffic,
      m_memory, std::move(limit));
}

}  // namespace cowslipknot::gateway
