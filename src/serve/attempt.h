#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/state/fleet.h"
#include "serve/model_run.h"

namespace cowslipknot {

/// Counts a request as in flight at a server for the lifetime of the guard.
class InFlightGuard {
 public:
  InFlightGuard(std::shared_ptr<ServerLoad> load, TokenCount tokens)
      : m_load(std::move(load)), m_tokens(tokens) {
    ++m_load->in_flight;
    m_load->in_flight_tokens += m_tokens.Count();
    m_load->tokens_since_report += m_tokens.Count();
  }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;
  ~InFlightGuard() {
    --m_load->in_flight;
    ReleaseTokens();
  }

  /// Stops counting the prompt tokens, once the server has computed the prompt.
  void ReleaseTokens() {
    m_load->in_flight_tokens -= m_tokens.Count();
    m_tokens = TokenCount(0);
  }

 private:
  std::shared_ptr<ServerLoad> m_load;
  TokenCount m_tokens;
};

/// One attempt to execute a model run on one server.
struct ModelRun::Attempt {
  std::string id;
  ServerView server;
  VersionChoice choice;
  ServerSelection selection;
  std::unique_ptr<InFlightGuard> in_flight;
  std::chrono::nanoseconds sent_at{0};  ///< in TimeSinceBoot()
  SteadyClock::time_point started = SteadyClock::now();
  bool has_framing = true;  ///< of the response
  bool has_output = false;  ///< the first output was received
  bool slow = false;        ///< the first output came after the route's target
  /// Number of chunks received when the stream was last resumed.
  std::optional<std::size_t> last_resume_position;
};

/// Delay before a retry that is not covered by the retry budget, that found no
/// server, or that follows a resumed stream without new output.
constexpr Milliseconds kRetryDelay(100);

/// Options of a call whose answer carries the id of the request. On a
/// connection that has carried earlier requests, an answer to another one is
/// skipped, since the own one follows.
/// @param progress  of the call; outlives it
CallOptions IdentifiedCall(std::string request, Milliseconds timeout,
                           Reuse reuse, const CallProgress& progress);

/// Maps the status of an engine's response, and an X-Request-Id that does not
/// match the attempt, to an Error. A status without an id says nothing of the
/// attempt if an earlier request of the connection may have caused it.
Result<void> CheckEngineHeader(const http::response_header<>& header,
                               const std::string& attempt,
                               const CallProgress& progress);

/// The server and version selected for the next attempt to call a service.
struct ServerChoice {
  ServerView server;
  VersionChoice version;
  ServerSelection selection;
};

/// A request that is to be sent to a server of a route's service.
struct ServiceRequest {
  Route route;
  RequestId id;
  RequestCost cost;
  std::vector<ServerId> tried;  ///< servers that are not chosen again
};

/// Selects a server, which may require a permit.
Result<ServerChoice> ChooseForService(Worker& worker,
                                      const ServiceRequest& request);

/// Selects a server and obtains the permit to send it one request. Servers
/// without a limit are preferred once two permits were denied.
Awaitable<Result<ServerChoice>> ChooseWithPermit(Worker& worker,
                                                 ServiceRequest request);

/// The time after which a caller should repeat a request that found no server,
/// if no server of its pool may be sent one now.
std::optional<Milliseconds> RetryDelayOfPause(Worker& worker,
                                              const ServiceId& service,
                                              const RequestId& request);

}  // namespace cowslipknot
