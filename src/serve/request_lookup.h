#pragma once

#include "serve/worker.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Forwards a lookup to the instance that can answer for the request and relays
/// its response.
Awaitable<Result<void>> ForwardLookup(Worker& worker, HttpExchange& exchange,
                                      RequestId id);

/// Responds with the recorded state of a call that is executed at most once.
///
/// @param id  the call's idempotency key
Awaitable<Result<void>> SendClaimOutcome(Worker& worker, HttpExchange& exchange,
                                         WorkspaceId workspace, RequestId id);

}  // namespace cowslipknot
