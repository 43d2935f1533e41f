#pragma once

#include "serve/worker.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Answers a lookup from the instance that knows the request.
Awaitable<Result<void>> ForwardLookup(Worker& worker, HttpExchange& exchange,
                                      RequestId id);

/// Answers with the recorded outcome of a call that may not be repeated.
///
/// @param id  the call's idempotency key
Awaitable<Result<void>> AnswerClaim(Worker& worker, HttpExchange& exchange,
                                    WorkspaceId workspace, RequestId id);

}  // namespace cowslipknot
