#pragma once

#include "serve/control.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Serves the operators' HTTP API. Runs on the control thread.
class OperatorApi {
 public:
  OperatorApi(Control& control, std::function<void()> drain)
      : m_control(control), m_drain(std::move(drain)) {}

  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  Awaitable<HttpResponse> Dispatch(const HttpRequest& request);
  Awaitable<HttpResponse> ApplyObjects(const HttpRequest& request);
  Awaitable<HttpResponse> ChangeMove(const std::string& path,
                                     const HttpRequest& request);
  Awaitable<HttpResponse> ChangeEvacuations(const HttpRequest& request);
  Awaitable<HttpResponse> MetricsResponse();
  Awaitable<std::string> StatusJson();
  std::string ObjectsJson() const;
  bool Authorized(const HttpRequest& request) const;

  Control& m_control;
  std::function<void()> m_drain;
};

}  // namespace cowslipknot
