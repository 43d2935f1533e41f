#include "serve/attempt.h"

#include "protocol/server_notices.h"

namespace cowslipknot {

CallOptions IdentifiedCall(std::string request, Milliseconds timeout,
                           Reuse reuse, const CallProgress& progress) {
  CallOptions options = WithTimeout(timeout, reuse);
  options.is_own_response = [request, &progress](const auto& header) {
    return !progress.reused_connection || !AnswersOtherRequest(header, request);
  };
  options.request_id = std::move(request);
  return options;
}

}  // namespace cowslipknot
