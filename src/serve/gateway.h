#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cowslipknot/gateway/settings.h"
#include "protocol/gateway_dialect.h"

namespace cowslipknot::gateway {

/// Makes the adapter to the platform; its calls run on the executor.
using DialectFactory = std::function<std::shared_ptr<const Dialect>(
    asio::any_io_executor, const Settings&)>;

/// Runs one gateway instance until it is told to stop.
/// @param path  of the settings file, read again on SIGHUP
/// @return the process's exit code
int Serve(const Settings& settings, const std::string& path,
          const DialectFactory& make_dialect);

}  // namespace cowslipknot::gateway
