#include "serve/error_response.h"

namespace cowslipknot::gateway {

HttpResponse MakeErrorResponse(const Error& error, Milliseconds retry_after) {
  const ResultCodeRow& row = Describe(error.code);
  HttpResponse response(static_cast<http::status>(row.http_status), 11);
  response.set("X-Result-Code", std::to_string(static_cast<int>(error.code)));
  response.set("X-Execution", error.execution == Execution::kNotRun
                                  ? "not-run"
                                  : "outcome-unknown");
  if (retry_after.count() > 0) {
    constexpr double kMsPerSecond = 1000;
    std::string seconds =
        std::to_string(static_cast<double>(retry_after.count()) / kMsPerSecond);
    response.set(http::field::retry_after, seconds);
  }
  response.set(http::field::content_type, "text/plain");
  response.body() = std::string(row.message) + "\n";
  return response;
}

}  // namespace cowslipknot::gateway
