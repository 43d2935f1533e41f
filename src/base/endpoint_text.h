#pragma once

#include <string>
#include <string_view>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

namespace cowslipknot {

/// Parses "host:port", where host is an IP address.
Result<Endpoint> ParseEndpointText(std::string_view text);

/// Formats as "host:port".
std::string FormatEndpoint(const Endpoint& endpoint);

}  // namespace cowslipknot
