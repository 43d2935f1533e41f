#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "cowslipknot/coordination/choose_server.h"
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
    m_live->tokens_since_report += m_tokens.Count();
  }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;
  ~InFlightGuard() {
    --m_live->in_flight;
    ReleaseTokens();
  }

  /// The prompt has been computed.
  void ReleaseTokens() {
    m_live->in_flight_tokens -= m_tokens.Count();
    m_tokens = TokenCount(0);
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
  ServerPick pick;
  std::unique_ptr<InFlightGuard> in_flight;
  SteadyClock::time_point started = SteadyClock::now();
  bool answered = false;  ///< the first output has come
  bool slow = false;
  /// Tokens had when its stream was last resumed.
  std::optional<std::size_t> resumed_at;
};

/// Pause before a server is asked again where nothing was gained.
constexpr Milliseconds kRetryPause(100);

/// What an engine's refusal in the header means.
Result<void> CheckEngineHeader(const http::response_header<>& header,
                               const std::string& attempt);

/// The server and version for the next attempt at a service.
struct ServerChoice {
  ServerView server;
  VersionChoice version;
  ServerPick pick;
};

Result<ServerChoice> ChooseForService(Worker& worker, const Route& route,
                                      const RequestId& request,
                                      const RequestCost& cost,
                                      const std::vector<ServerId>& tried);

}  // namespace cowslipknot
