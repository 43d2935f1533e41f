#pragma once

#include "cowslipknot/result.h"
#include "transport/http_client.h"

namespace cowslipknot::gateway {

/// Builds the response to a request that fails without a response from a
/// backend server.
/// @param retry_after  value of the Retry-After header; zero omits the header
HttpResponse MakeErrorResponse(const Error& error, Milliseconds retry_after);

}  // namespace cowslipknot::gateway
