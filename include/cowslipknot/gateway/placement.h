#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cowslipknot/gateway/server_registry.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

/// Where a gateway instance sends a request.
namespace cowslipknot::gateway {

/// A part of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  TokenCount tokens;
};

/// Which prompt parts a server is believed to keep, by what was sent there.
/// The least recently used parts are forgotten first, as servers do.
class PartCache {
 public:
  explicit PartCache(TokenCount capacity) : m_capacity(capacity) {}

  /// Tokens of the leading parts that are kept.
  TokenCount Match(const std::vector<PromptPart>& parts) const;
  void Note(const std::vector<PromptPart>& parts);

 private:
  using Order = std::list<PromptPart>;
  TokenCount m_capacity;
  std::uint64_t m_tokens = 0;
  Order m_order;  ///< most recently used first
  std::unordered_map<std::uint64_t, Order::iterator> m_known;
};

/// What one instance believes of a server. Used on the traffic thread only.
class BackendState {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param cache  memory that keeps prompt parts
  explicit BackendState(TokenCount cache);

  /// A request was sent.
  /// @param uncached  prompt tokens to compute
  /// @return names the request until its first event
  std::uint64_t NoteSent(TokenCount uncached,
                         const std::vector<PromptPart>& parts, Time now);
  /// The first event of a request came.
  /// @param work       tokens believed to be computed before it
  /// @param predicted  time until it, in milliseconds
  void NoteFirstEvent(std::uint64_t sent, TokenCount uncached, TokenCount work,
                      double predicted, Time now);
  /// A request ended before its first event, or a call that has none ended.
  void NoteUnstarted(std::uint64_t sent, TokenCount uncached);
  /// A request that had begun has ended.
  void NoteFinished();

  /// Another instance sent a prompt here.
  void NoteRemote(TokenCount uncached, Time now);
  /// Tokens that other instances sent and that are not computed yet, as far
  /// as they told.
  double RemoteQueue(Time now) const;

  void NoteSuccess();
  void NoteFailure(Time now);
  /// The server was not reached, or went silent.
  void NoteUnreachable(Time now);
  bool Avoided(Time now) const { return now < m_avoided_until; }

  TokenCount Queue() const { return TokenCount(m_queue); }
  std::uint64_t Waiting() const { return m_waiting.size(); }
  /// How much longer requests wait here than predicted, in milliseconds: by
  /// the latest first events, and by those that still wait.
  double Lag(Time now) const;
  std::uint64_t Running() const { return m_running; }
  /// Decaying share of attempts that failed.
  double FailureShare() const { return m_failures; }
  double TokensPerMs() const { return m_tokens_per_ms; }
  const PartCache& Cache() const { return m_cache; }

 private:
  double DecayedLag(Time now) const;

  PartCache m_cache;
  std::uint64_t m_queue = 0;  ///< tokens sent whose first event has not come
  std::uint64_t m_sent = 0;
  std::map<std::uint64_t, Time> m_waiting;  ///< when sent, oldest first
  double m_remote = 0;                      ///< tokens
  Time m_remote_updated{0};
  double m_lag_ms = 0;
  Time m_lag_updated{0};
  std::uint64_t m_running = 0;
  double m_failures = 0;
  double m_tokens_per_ms;
  std::uint32_t m_unreachable_in_row = 0;
  Time m_avoided_until{0};
};

/// A server that may get requests.
struct Backend {
  ServerEntry entry;
  bool is_model = false;
  std::shared_ptr<BackendState> state;
};

/// What placement needs to know of a request.
struct PlacementRequest {
  TokenCount prompt;              ///< zero for plain calls
  std::vector<PromptPart> parts;  ///< the last one is the request's own
  Milliseconds objective{1000};   ///< to the first event or the answer
  std::vector<ServerId> tried;    ///< avoided
};

struct PlacementContext {
  DomainId domain;  ///< of this instance
  std::chrono::nanoseconds now{0};
  std::size_t instances_in_domain = 1;  ///< gateway instances, this included
  UnitDraw draw = 0;
};

struct Placement {
  std::size_t index = 0;      ///< into the backends offered
  TokenCount uncached;        ///< prompt tokens believed to be computed
  TokenCount work;            ///< the same and those ahead of them
  double first_event_ms = 0;  ///< predicted
};

/// Picks a server: the least predicted time to the first event, with what the
/// request's computation costs others, distance and recent failures.
///
/// Servers of the own failure domain are preferred, since this domain's
/// instances know their load; others get what these cannot serve in time.
/// Pure but for reading the backends' states.
/// @return kNoServer when all were tried or none is left
Result<Placement> Place(const PlacementRequest& request,
                        const std::vector<Backend>& backends,
                        const PlacementContext& context);

}  // namespace cowslipknot::gateway
