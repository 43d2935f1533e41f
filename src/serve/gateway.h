#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cowslipknot/gateway/settings.h"
#include "protocol/platform_adapter.h"

namespace cowslipknot::gateway {

/// Creates the platform adapter; its calls run on the given executor.
using PlatformAdapterFactory =
    std::function<std::shared_ptr<const PlatformAdapter>(asio::any_io_executor,
                                                         const Settings&)>;

/// Runs one gateway instance until SIGTERM or SIGINT.
/// @param path  settings file, validated again on SIGHUP
/// @return the process exit code
int Serve(const Settings& settings, const std::string& path,
          const PlatformAdapterFactory& make_adapter);

}  // namespace cowslipknot::gateway
