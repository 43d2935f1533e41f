#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"
#include "cowslipknot/state/fleet.h"

namespace cowslipknot {

enum class RoutingPolicy : std::uint8_t {
  kPredicted,
  kRoundRobin,
  kLeastOutstanding,
  kAffinity,
};

/// Properties of a request that server selection uses.
struct RequestCost {
  TokenCount prompt;
  TokenCount output;              ///< expected number of output tokens
  std::uint64_t prefix_hash = 0;  ///< hash of the prompt's prefix
  /// Chained hashes of the prompt's blocks, starting with the first block.
  std::vector<std::uint64_t> blocks;
  TokenCount prefix;            ///< length of the prefix that was sent before
  ServerId last_prefix_server;  ///< where this prefix was last sent
};

/// Inputs to one selection that do not depend on the request's content.
struct ChoiceContext {
  RoutingPolicy policy = RoutingPolicy::kPredicted;
  DomainId domain;  ///< failure domain of this entry instance
  WallTime now;
  std::chrono::nanoseconds since_boot{0};  ///< the same time, for pauses
  std::uint64_t round_robin_index = 0;     ///< increases with each request
  UnitDraw draw = 0;  ///< random draw that samples candidates and breaks ties
  Milliseconds target{1400};  ///< time to first token
  /// Servers already tried for this request; they are not selected again.
  std::vector<ServerId> tried;
  std::size_t entry_instances = 1;  ///< instances that send to the same servers
  bool unlimited_only = false;      ///< exclude servers that require a permit
};

/// The selected server and the estimates behind the selection.
struct ServerSelection {
  std::size_t index = 0;  ///< into the list of servers passed in
  TokenCount queue;       ///< estimated prompt tokens ahead of the request
  TokenCount uncached;    ///< estimated prompt tokens not in the prefix cache
  Milliseconds first_token{0};  ///< predicted time to first token
};

/// Whether an interactive request should be rejected immediately because its
/// predicted time to first token is more than twice the target.
///
/// A server with no request in flight from this instance is always tried, since
/// only responses correct the prediction.
bool CannotMeetTarget(const ServerSelection& selection, const ServerLoad& load,
                      Milliseconds target);

/// Estimates the prompt tokens queued at a server: the last reported queue
/// depth, minus the tokens computed since, plus the tokens sent from this
/// instance since. Never less than the tokens in flight from this instance.
TokenCount EstimateQueue(const ServerLoad& load, WallTime now);

/// Predicts the time to first token of a request at a server.
Milliseconds PredictFirstToken(const RequestCost& request,
                               const ServerView& server, bool prefix_cached,
                               const ChoiceContext& context);

/// Selects the backend server for one request among the servers of a pool.
///
/// Scores a bounded number of candidates, so the cost hardly grows with
/// the size of the pool. Thread-safe; has no side effects, but reads the
/// servers' load counters.
///
/// @return the selected server, or kNoServer when no server may take new work
Result<ServerSelection> ChooseServer(const RequestCost& request,
                                     const std::vector<ServerView>& servers,
                                     const ChoiceContext& context);

/// Records that a server said in an answer that it is leaving; it is not
/// selected from then on.
/// @return true the first time
bool RecordLeaving(ServerLoad& load);

/// Records the queue depth that a server reported with a response.
void RecordQueueReport(ServerLoad& load, TokenCount queue, WallTime now);

/// Updates a server's estimated prefill rate from a measured time to first
/// token.
///
/// @param work  estimated tokens computed before the first token
/// @param took  measured time to first token
void RecordFirstToken(ServerLoad& load, TokenCount work, Milliseconds took);

/// Records the outcome of an attempt for the circuit breaker.
///
/// A server is ejected for a few seconds after several consecutive failures.
/// Ejections are ignored while more than half of the untried servers of the
/// pool are ejected.
void RecordAttempt(ServerLoad& load, bool succeeded, WallTime now);

}  // namespace cowslipknot
