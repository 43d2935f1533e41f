#pragma once

#include "serve/control.h"
#include "transport/http_server.h"

namespace cowslipknot {

/// Answers operators' commands. Runs on the control thread.
class OperatorApi {
 public:
  OperatorApi(Control& control, std::function<void()> drain)
      : m_control(control), m_drain(std::move(drain)) {}

  Awaitable<void> Handle(HttpExchange& exchange);

 private:
  Awaitable<HttpResponse> Answer(const HttpRequest& request);
  Awaitable<HttpResponse> Apply(const HttpRequest& request);
  Awaitable<HttpResponse> ChangeMove(const std::string& path,
                                     const HttpRequest& request);
  Awaitable<HttpResponse> Metrics();
  Awaitable<std::string> Status();
  std::string Objects() const;
  bool Authorized(const HttpRequest& request) const;

  Control& m_control;
  std::function<void()> m_drain;
};

}  // namespace cowslipknot
