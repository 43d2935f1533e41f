#pragma once

#include <optional>

#include "serve/gateway_worker.h"

namespace cowslipknot::gateway {

/// A caller's request with what the configuration says of it. Pointers are
/// into the snapshot that it was admitted by.
struct AdmittedRequest {
  CallerRequest request;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;  ///< null on public routes
  Milliseconds patience{0};              ///< until the answer is due
  std::optional<Error> rejection;        ///< set when it is not admitted
  Milliseconds retry_after{0};           ///< when it may come back; zero: never
};

/// Reads a request, finds its route and workspace, and takes its cost from the
/// workspace's limit.
Awaitable<AdmittedRequest> AdmitRequest(Worker& worker,
                                        const Snapshot& snapshot,
                                        const HttpRequest& http);

}  // namespace cowslipknot::gateway
