#pragma once

#include "serve/worker.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// The workers of one instance and what callers' requests need of them.
struct CallerContext {
  std::vector<std::unique_ptr<Worker>>* workers = nullptr;
  /// True once the balancer should send no more requests.
  std::function<bool()> draining;
  /// True once a reclaim of this instance was announced.
  std::function<bool()> reclaim_announced;
};

/// Answers one caller's request on the worker that accepted it.
Awaitable<void> HandleCaller(Worker& worker, const CallerContext& context,
                             HttpExchange& exchange);

/// A response with a JSON body.
HttpResponse JsonResponse(http::status status, std::string body);

/// A response that carries an error.
HttpResponse ErrorResponse(const Error& error);

}  // namespace cowslipknot
