#pragma once

#include <optional>

#include "serve/gateway_worker.h"

namespace cowslipknot::gateway {

/// Retry-After of a request that this instance does not serve because it stops.
/// Callers repeat it at another instance.
constexpr Milliseconds kStopRetryDelay(50);

/// A caller's request with its route and workspace. The pointers refer to the
/// configuration snapshot that the request was admitted with.
struct AdmissionResult {
  CallerRequest request;
  Suspects suspects;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;  ///< null on public routes
  Milliseconds response_timeout{0};      ///< time until the response is due
  Milliseconds age{0};  ///< since the caller's first attempt, as far as known
  std::optional<Error> rejection;  ///< set when it is not admitted
  Milliseconds retry_after{0};     ///< when a retry may succeed; zero: never
};

/// Parses a request, looks up its route and workspace, and charges its cost to
/// the workspace's quota.
Awaitable<AdmissionResult> AdmitRequest(Worker& worker,
                                        const Snapshot& snapshot,
                                        const HttpRequest& http);

}  // namespace cowslipknot::gateway
