#pragma once

#include <boost/json.hpp>

#include "protocol/gateway_dialect.h"

/// What the platform's store says of a fleet of gateways, for operators.
namespace cowslipknot::gateway {

/// Reads the rows that gateways, servers and the operator have written.
/// @return kPlatformUnreachable, or the store's error
Awaitable<Result<boost::json::object>> ReadFleetStatus(const Dialect& dialect);

}  // namespace cowslipknot::gateway
