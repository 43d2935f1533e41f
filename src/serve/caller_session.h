#pragma once

#include "serve/worker.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// State of the instance that the handling of callers' requests depends on.
struct CallerContext {
  std::vector<std::unique_ptr<Worker>>* workers = nullptr;
  /// True once the load balancer should stop sending requests here.
  std::function<bool()> draining;
  /// True once the platform has announced that it reclaims this instance.
  std::function<bool()> reclaim_announced;
};

/// Responds to one caller's request on the worker that accepted it.
Awaitable<void> HandleCaller(Worker& worker, const CallerContext& context,
                             HttpExchange& exchange);

/// A response with a JSON body.
HttpResponse JsonResponse(http::status status, std::string body);

/// A response with the error's status, JSON body and result headers.
HttpResponse ErrorResponse(const Error& error);

}  // namespace cowslipknot
