#pragma once

#include <boost/json.hpp>

#include "protocol/platform_adapter.h"

/// Fleet status for operators, read from the platform's store.
namespace cowslipknot::gateway {

/// Reads the rows that gateway instances, backend servers and the operator have
/// written and returns them as one JSON object.
/// @return the status, or the store's error if a table cannot be read
Awaitable<Result<boost::json::object>> ReadFleetStatus(
    const PlatformAdapter& adapter);

}  // namespace cowslipknot::gateway
