#include "transport/endpoint.h"

#include <algorithm>
#include <iterator>

namespace cowslipknot {
namespace {

/// Whether a listener may open later without a change to the settings.
bool IsTransient(const error_code& error) {
  using boost::system::errc::errc_t;
  constexpr errc_t kTransient[] = {
      errc_t::address_in_use,      errc_t::address_not_available,
      errc_t::too_many_files_open, errc_t::too_many_files_open_in_system,
      errc_t::no_buffer_space,     errc_t::not_enough_memory,
  };
  return std::any_of(std::begin(kTransient), std::end(kTransient),
                     [&error](errc_t code) { return error == code; });
}

}  // namespace

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
    return Fail(IsTransient(error) ? ResultCode::kAddressUnavailable
                                   : ResultCode::kInvalidSettings,
                "cannot listen on " + FormatEndpoint(endpoint) + ": " +
                    error.message());
  }
  return acceptor;
}

bool ResetOnClose(tcp::socket& socket) {
  error_code error;
  socket.set_option(asio::socket_base::linger(true, 0), error);
  return !error;
}

}  // namespace cowslipknot
