#pragma once

#include <memory>
#include <string>

#include "base/clock.h"
#include "cowslipknot/state/fleet.h"
#include "serve/model_run.h"

namespace cowslipknot {

/// Counts a request as in flight at a server while it lives.
class InFlightGuard {
 public:
  InFlightGuard(std::shared_ptr<ServerLive> live, TokenCount tokens)
      : m_live(std::move(live)), m_tokens(tokens) {
    ++m_live->in_flight;
    m_live->in_flight_tokens += m_tokens.Count();
  }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;
  ~InFlightGuard() {
    --m_live->in_flight;
    m_live->in_flight_tokens -= m_tokens.Count();
  }

 private:
  std::shared_ptr<ServerLive> m_live;
  TokenCount m_tokens;
};

/// One attempt of a model run at one server.
struct ModelRun::Attempt {
  std::string id;
  ServerView server;
  VersionChoice choice;
  SteadyClock::time_point started = SteadyClock::now();
  bool slow = false;
  bool saw_finish = false;
  bool saw_done = false;
};

/// The server and version for the next attempt at a service.
struct ServerChoice {
  ServerView server;
  VersionChoice version;
};

Result<ServerChoice> ChooseForService(Worker& worker, const ServiceId& service,
                                      const RequestId& request,
                                      const RequestCost& cost,
                                      const std::vector<ServerId>& tried);

}  // namespace cowslipknot
