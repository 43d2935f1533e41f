#include "transport/connect_check.h"

#include "transport/endpoint.h"
#include "transport/local_shortage.h"

namespace cowslipknot {

Awaitable<bool> AcceptsConnections(const Endpoint& endpoint,
                                   Milliseconds timeout) {
  const auto address = ToTcpEndpoint(endpoint);
  if (!address) co_return false;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  auto [error] = co_await stream.async_connect(*address, kAsTuple);
  if (IsLocalShortage(error)) {
    LogDescriptorsExhausted(endpoint, error.message());
    co_return true;
  }
  co_return !error;
}

}  // namespace cowslipknot
