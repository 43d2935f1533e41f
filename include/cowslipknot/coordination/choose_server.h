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

/// What a choice needs to know of a request.
struct RequestCost {
  TokenCount prompt;
  TokenCount output;              ///< expected
  std::uint64_t prefix_hash = 0;  ///< names the prompt's beginning
  /// Chained hashes of the prompt's blocks, from its beginning.
  std::vector<std::uint64_t> blocks;
  TokenCount prefix;  ///< length of its beginning that was sent before
  ServerId last_prefix_server;  ///< where this instance sent the prefix last
};

/// The circumstances of one choice.
struct ChoiceContext {
  RoutingPolicy policy = RoutingPolicy::kPredicted;
  DomainId domain;  ///< of the entry instance
  WallTime now;
  std::uint64_t turn = 0;     ///< for round robin
  UnitDraw draw = 0;          ///< samples candidates
  Milliseconds target{1400};  ///< for the first token
  /// Servers already tried for this request, which are avoided.
  std::vector<ServerId> tried;
  std::size_t entry_instances = 1;  ///< that send to the same servers
};

/// A chosen server and what the choice rests on.
struct ServerPick {
  std::size_t index = 0;        ///< into the servers offered
  TokenCount queue;             ///< believed to be ahead of the request
  TokenCount uncached;          ///< prompt tokens believed to need computing
  Milliseconds first_token{0};  ///< predicted time until it
};

/// Whether an interactive request should be refused at once, because the pick
/// misses its target by far. A server with nothing in flight from here is
/// always worth a try, since only answers correct the prediction.
bool IsHopeless(const ServerPick& pick, const ServerLive& live,
                Milliseconds target);

/// Prompt tokens believed to wait at a server: its last report, less what it
/// has computed since, plus what was sent from here since.
TokenCount EstimateQueue(const ServerLive& live, WallTime now);

/// Time that passes before a server would yield the first token, as predicted.
Milliseconds PredictFirstToken(const RequestCost& request,
                               const ServerView& server, bool prefix_cached,
                               const ChoiceContext& context);

/// Picks the backend server for one request among a pool's servers.
///
/// Pure but for reading the servers' live counters; thread-safe.
/// Looks at a bounded number of candidates, so that cost hardly grows with
/// the pool.
///
/// @return the pick, or kNoServer when none may take new work
Result<ServerPick> ChooseServer(const RequestCost& request,
                                const std::vector<ServerView>& servers,
                                const ChoiceContext& context);

/// Notes a load report that came with an answer.
void NoteReport(ServerLive& live, TokenCount queue, WallTime now);

/// Corrects a server's believed speed by the time that a first token took.
///
/// @param work  tokens that were believed to be computed before it
void NoteFirstToken(ServerLive& live, TokenCount work, Milliseconds took);

/// Records the outcome of an attempt for circuit breaking.
///
/// After several failures in a row the server is avoided for a while, unless
/// most of its pool is avoided too.
void NoteAttempt(ServerLive& live, bool succeeded, WallTime now);

}  // namespace cowslipknot
