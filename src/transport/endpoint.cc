#include "transport/endpoint.h"

namespace cowslipknot {

Result<tcp::endpoint> ToTcpEndpoint(const Endpoint& endpoint) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  if (error) {
    return Fail(ResultCode::kInvalidSettings,
                "'" + endpoint.host + "' is not an IP address");
  }
  return tcp::endpoint(address, endpoint.port);
}

Result<tcp::acceptor> Listen(asio::io_context& context,
                             const Endpoint& endpoint) {
  const auto address = ToTcpEndpoint(endpoint);
  if (!address) return tl::make_unexpected(address.error());
  using ReusePort =
      asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  tcp::acceptor acceptor(context);
  error_code error;
  acceptor.open(address->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.set_option(ReusePort(true), error);
  if (!error) acceptor.bind(*address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ResultCode::kInvalidSettings, "cannot listen on " +
                                                  FormatEndpoint(endpoint) +
                                                  ": " + error.message());
  }
  return acceptor;
}

bool ResetOnClose(tcp::socket& socket) {
  error_code error;
  socket.set_option(asio::socket_base::linger(true, 0), error);
  return !error;
}

}  // namespace cowslipknot
