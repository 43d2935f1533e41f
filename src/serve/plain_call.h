#pragma once

#include "serve/worker.h"

namespace cowslipknot {

/// A request of a plain service, as the caller sent it.
struct PlainRequest {
  RequestId id;
  WorkspaceId workspace;
  Route route;
  std::string idempotency_key;
  HttpRequest http;
  TraceContext parent;
};

/// Calls a plain service, once if the route's calls may not be repeated.
///
/// @return the service's answer or a recorded one; or an Error whose
///         execution says whether the call may have run
Awaitable<Result<HttpResponse>> CallPlainService(Worker& worker,
                                                 PlainRequest request);

}  // namespace cowslipknot
