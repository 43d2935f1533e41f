#pragma once

#include "serve/worker.h"

namespace cowslipknot {

/// A caller's request to a plain service.
struct PlainRequest {
  RequestId id;
  WorkspaceId workspace;
  Route route;
  std::string idempotency_key;
  Suspects suspects;
  HttpRequest http;
  TraceContext parent;
};

/// Calls a plain service. If the route's calls are not repeatable, the call is
/// executed at most once.
///
/// @return the service's response, or the recorded one of an earlier call with
///         the same idempotency key; or an Error whose `execution` says whether
///         the call may have been executed
Awaitable<Result<HttpResponse>> CallPlainService(Worker& worker,
                                                 PlainRequest request);

}  // namespace cowslipknot
