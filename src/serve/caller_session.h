#pragma once

#include "serve/worker.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Instance state that is used to handle callers' requests.
struct CallerContext {
  std::vector<std::unique_ptr<Worker>>* workers = nullptr;
  /// True once the load balancer should stop sending requests here.
  std::function<bool()> draining;
  /// True once a stop or reclaim of this instance has been announced.
  std::function<bool()> reclaim_announced;
};

/// Responds to one caller's request on the worker that accepted it.
Awaitable<void> HandleCaller(Worker& worker, const CallerContext& context,
                             HttpExchange& exchange);

/// Builds a response with a JSON body.
HttpResponse JsonResponse(http::status status, std::string body);

/// Builds a response with the error's status, JSON body and result headers.
HttpResponse ErrorResponse(const Error& error);

}  // namespace cowslipknot
