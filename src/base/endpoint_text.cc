#include "base/endpoint_text.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace cowslipknot {

Result<Endpoint> ParseEndpointText(std::string_view text) {
  const auto fail = [&text] {
    return Fail(ResultCode::kInvalidSettings,
                "'" + std::string(text) + "' is not an IP address and port");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return fail();
  Endpoint endpoint;
  endpoint.host = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const char* const port_end = port.data() + port.size();
  const auto [end, error] =
      std::from_chars(port.data(), port_end, endpoint.port);
  if (error != std::errc() || end != port_end) return fail();
  boost::system::error_code address_error;
  boost::asio::ip::make_address(endpoint.host, address_error);
  if (address_error) return fail();
  return endpoint;
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

}  // namespace cowslipknot
