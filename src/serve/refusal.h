#pragma once

#include "cowslipknot/result.h"
#include "transport/http_client.h"

namespace cowslipknot::gateway {

/// The answer to a request that ends here without a server's answer.
/// @param retry_after  when the caller may come back; zero says nothing
HttpResponse RefusalOf(const Error& error, Milliseconds retry_after);

}  // namespace cowslipknot::gateway
