#include "transport/frame_link.h"

#include <algorithm>
#include <array>

#include "cowslipknot/events.h"
#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/local_shortage.h"

namespace cowslipknot {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxIdleConnections = 64;
constexpr Milliseconds kServerIdleTimeout(120000);
/// From a served frame's length to its last byte.
constexpr Milliseconds kFrameTimeout(5000);
/// A frame takes memory as it arrives, not as its length announces.
constexpr std::size_t kFramePieceBytes = 64 << 10;

using LengthPrefix = std::array<std::uint8_t, kLengthBytes>;

LengthPrefix EncodeLength(std::size_t length) {
  LengthPrefix prefix;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    prefix.at(i) = static_cast<std::uint8_t>(length >> (8 * i));
  }
  return prefix;
}

std::uint32_t DecodeLength(const LengthPrefix& prefix) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::uint32_t>(prefix.at(i)) << (8 * i);
  }
  return length;
}

Awaitable<bool> WriteFrame(beast::tcp_stream& stream, const FrameBytes& frame) {
  const LengthPrefix prefix = EncodeLength(frame.size());
  const std::array<asio::const_buffer, 2> parts = {asio::buffer(prefix),
                                                   asio::buffer(frame)};
  auto [error, size] = co_await asio::async_write(stream, parts, kAsTuple);
  co_return !error;
}

Awaitable<Result<std::uint32_t>> ReadLength(beast::tcp_stream& stream) {
  LengthPrefix prefix;
  auto [error, size] =
      co_await asio::async_read(stream, asio::buffer(prefix), kAsTuple);
  if (error) co_return Fail(ResultCode::kPeerUnreachable, error.message());
  const std::uint32_t length = DecodeLength(prefix);
  if (length > kMaxFrameBytes) {
    co_return Fail(ResultCode::kFrameTooLarge, std::to_string(length));
  }
  co_return length;
}

Awaitable<Result<FrameBytes>> ReadContent(beast::tcp_stream& stream,
                                          std::uint32_t length,
                                          MemoryReservation& memory) {
  FrameBytes frame;
  while (frame.size() < length) {
    const std::size_t start = frame.size();
    const std::size_t end =
        std::min<std::size_t>(start + kFramePieceBytes, length);
    if (!memory.Resize(end))
      co_return Fail(ResultCode::kMemoryExhausted, std::to_string(length));
    frame.resize(end);
    auto [error, size] = co_await asio::async_read(
        stream, asio::buffer(frame.data() + start, end - start), kAsTuple);
    if (error) co_return Fail(ResultCode::kPeerUnreachable, error.message());
  }
  co_return frame;
}

Awaitable<Result<FrameBytes>> ReadFrame(beast::tcp_stream& stream,
                                        MemoryReservation& memory) {
  const auto length = co_await ReadLength(stream);
  if (!length) co_return tl::make_unexpected(length.error());
  co_return co_await ReadContent(stream, *length, memory);
}

Awaitable<void> ServePeerConnection(beast::tcp_stream stream,
                                    FrameHandler handler,
                                    std::shared_ptr<LinkTraffic> traffic,
                                    std::shared_ptr<MemoryBudget> budget,
                                    std::shared_ptr<ConnectionSet> idle,
                                    ConnectionLimit::Slot /*slot*/) {
  while (true) {
    MemoryReservation memory(budget);
    stream.expires_after(kServerIdleTimeout);
    idle->Add(stream);
    const auto length = co_await ReadLength(stream);
    idle->Remove(stream);
    Result<FrameBytes> frame =
        length ? Result<FrameBytes>() : tl::make_unexpected(length.error());
    if (length) {
      stream.expires_after(kFrameTimeout);
      frame = co_await ReadContent(stream, *length, memory);
    }
    if (!frame) {
      ++traffic->failures;
      if (frame.error().code != ResultCode::kPeerUnreachable) {
        LogEvent(Event::kFrameRejected, {{"detail", frame.error().detail}});
      }
      co_return;
    }
    traffic->received += frame->size() + kLengthBytes;
    ++traffic->calls;
    const FrameBytes answer = co_await handler(*frame);
    if (answer.empty()) co_return;
    stream.expires_after(kServerIdleTimeout);
    if (!co_await WriteFrame(stream, answer)) co_return;
    traffic->sent += answer.size() + kLengthBytes;
  }
}

}  // namespace

Awaitable<Result<FrameClient::StreamPtr>> FrameClient::Connect(
    const Endpoint& peer, Milliseconds timeout) {
  const auto address = ToTcpEndpoint(peer);
  if (!address) co_return tl::make_unexpected(address.error());
  const auto source = ToTcpEndpoint(Endpoint{m_source, 0});
  if (!source) co_return tl::make_unexpected(source.error());
  auto stream = std::make_unique<beast::tcp_stream>(m_executor);
  error_code bind_error;
  stream->socket().open(source->protocol(), bind_error);
  if (!bind_error) stream->socket().bind(*source, bind_error);
  if (bind_error) {
    LogDescriptorsExhausted(peer, bind_error.message());
    co_return Fail(ResultCode::kPeerUnreachable, bind_error.message());
  }
  stream->expires_after(timeout);
  auto [error] = co_await stream->async_connect(*address, kAsTuple);
  if (IsLocalShortage(error)) LogDescriptorsExhausted(peer, error.message());
  if (error) co_return Fail(ResultCode::kPeerUnreachable, error.message());
  stream->socket().set_option(tcp::no_delay(true), error);
  if (!ResetOnClose(stream->socket())) {
    co_return Fail(ResultCode::kPeerUnreachable, "cannot be reset on close");
  }
  co_return stream;
}

Awaitable<Result<FrameBytes>> FrameClient::TryCall(const Endpoint& peer,
                                                   const FrameBytes& frame,
                                                   Milliseconds timeout,
                                                   bool& reused) {
  StreamPtr stream;
  auto& idle = m_idle[peer];
  reused = !idle.empty();
  if (reused) {
    stream = std::move(idle.back());
    idle.pop_back();
    --m_idle_count;
    stream->expires_after(timeout);
  } else {
    auto connected = co_await Connect(peer, timeout);
    if (!connected) co_return tl::make_unexpected(connected.error());
    stream = std::move(*connected);
  }
  if (!co_await WriteFrame(*stream, frame)) {
    co_return Fail(ResultCode::kPeerUnreachable,
                   "the frame could not be written");
  }
  m_traffic.sent += frame.size() + kLengthBytes;
  MemoryReservation memory(m_memory);
  auto answer = co_await ReadFrame(*stream, memory);
  if (!answer) co_return tl::make_unexpected(answer.error());
  m_traffic.received += answer->size() + kLengthBytes;
  if (m_idle_count < kMaxIdleConnections) {
    stream->expires_never();
    m_idle[peer].push_back(std::move(stream));
    ++m_idle_count;
  }
  co_return answer;
}

void FrameClient::CloseIdle(const Endpoint& peer) {
  const auto idle = m_idle.find(peer);
  if (idle == m_idle.end()) return;
  m_idle_count -= idle->second.size();
  m_idle.erase(idle);
}

Awaitable<Result<FrameBytes>> FrameClient::Call(Endpoint peer, FrameBytes frame,
                                                Milliseconds timeout) {
  ++m_traffic.calls;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  bool reused = false;
  auto answer = co_await TryCall(peer, frame, timeout, reused);
  if (!answer) CloseIdle(peer);
  // Frames are idempotent, so a frame sent on a stale connection is retried,
  // unless the peer did not respond in time.
  const auto left = std::chrono::duration_cast<Milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (!answer && reused && left.count() > 0)
    answer = co_await TryCall(peer, frame, left, reused);
  if (!answer) ++m_traffic.failures;
  co_return answer;
}

Awaitable<void> ServeFrames(std::shared_ptr<tcp::acceptor> acceptor,
                            FrameHandler handler,
                            std::shared_ptr<LinkTraffic> traffic,
                            std::shared_ptr<MemoryBudget> memory,
                            std::shared_ptr<ConnectionLimit> limit) {
  const auto executor = co_await asio::this_coro::executor;
  const auto idle = std::make_shared<ConnectionSet>();
  if (!limit)
    limit = std::make_shared<ConnectionLimit>("peers", kUnlimitedConnections);
  ConnectionHandler serve = [executor, handler, traffic, memory, idle](
                                tcp::socket socket,
                                ConnectionLimit::Slot slot) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    try {
      Spawn(executor, "peer connection",
            ServePeerConnection(beast::tcp_stream(std::move(socket)), handler,
                                traffic, memory, idle, std::move(slot)));
    } catch (...) {
      RecordTaskFailure("peer connection", std::current_exception());
    }
  };
  co_await AcceptConnections(std::move(acceptor), std::move(limit), idle,
                             std::move(serve));
}

}  // namespace cowslipknot
