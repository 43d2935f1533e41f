#include "transport/graceful_close.h"

#include <array>

#include "cowslipknot/ids.h"

namespace cowslipknot {
namespace {

/// How long a closing connection waits for the peer to close its side, which
/// takes a round trip.
constexpr Milliseconds kLingerTimeout(150);

}  // namespace

Awaitable<void> CloseGracefully(beast::tcp_stream& stream) {
  error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> discarded;
  // The timer of the stream does not end reads that complete at once.
  const auto deadline = std::chrono::steady_clock::now() + kLingerTimeout;
  stream.expires_at(deadline);
  while (std::chrono::steady_clock::now() < deadline) {
    auto [error, size] =
        co_await stream.async_read_some(asio::buffer(discarded), kAsTuple);
    if (error) co_return;
  }
}

}  // namespace cowslipknot
