#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cowslipknot/gateway/process_notices.h"
#include "cowslipknot/gateway/server_registry.h"
#include "cowslipknot/ids.h"
#include "cowslipknot/result.h"

/// Selection of the backend server for a request at a gateway instance.
namespace cowslipknot::gateway {

/// A segment of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  TokenCount tokens;
};

/// Model of a server's prefix cache: the prompt parts that it is expected to
/// hold, given the requests sent to it. Evicts the least recently used parts
/// first, as the servers do.
class PrefixCacheModel {
 public:
  explicit PrefixCacheModel(TokenCount capacity) : m_capacity(capacity) {}

  TokenCount Capacity() const { return m_capacity; }

  /// Counts the tokens of the leading parts that are cached.
  TokenCount Match(const std::vector<PromptPart>& parts) const;
  /// Inserts the parts of a prompt, or marks them as recently used.
  void Insert(const std::vector<PromptPart>& parts);

 private:
  using UsageOrder = std::list<PromptPart>;
  TokenCount m_capacity;
  std::uint64_t m_tokens = 0;
  UsageOrder m_recently_used;  ///< most recently used first
  std::unordered_map<std::uint64_t, UsageOrder::iterator> m_entries;
};

/// The load, speed and health of a server as estimated by one instance. Used on
/// the traffic thread only, but for SetAvailable().
class BackendState {
 public:
  using Time = std::chrono::nanoseconds;

  /// @param cache   capacity of the server's prefix cache
  /// @param listed  when the server's process was first listed
  explicit BackendState(TokenCount cache, Time listed = Time(0));

  /// Records that a request was sent.
  /// @param uncached  prompt tokens to compute
  /// @return identifies the request until its first event
  std::uint64_t RecordSent(TokenCount uncached,
                           const std::vector<PromptPart>& parts, Time now);
  /// Records the first event of a request.
  /// @param sent       identifier returned by RecordSent()
  /// @param work       estimated tokens computed before the first event
  /// @param predicted  predicted time to the first event, in milliseconds
  /// @return how much longer it took, in milliseconds
  double RecordFirstEvent(std::uint64_t sent, TokenCount uncached,
                          TokenCount work, double predicted, Time now);
  /// Records that a request waited longer than predicted for its first event.
  void RecordExcessWait(double excess_ms, Time now);
  /// Records that a request ended before its first event, or that a call
  /// without events ended.
  void RecordNotStarted(std::uint64_t sent, TokenCount uncached);
  /// Records that a request ended after its first event.
  void RecordFinished();

  /// Records that another instance sent a prompt to this server.
  void RecordRemotePrompt(TokenCount uncached, Time now);
  /// Estimated tokens that other instances sent and that are not computed yet,
  /// according to the notices of these instances.
  double RemoteQueuedTokens(Time now) const;

  void RecordSuccess();
  void RecordFailure(Time now);
  /// Records that the server could not be reached or stopped responding. It is
  /// ejected for a time that doubles with each failure in a row, up to a limit.
  void RecordUnreachable(Time now);
  /// Records that the server is registered again after its registration was
  /// missing. It runs, so that it is no longer ejected.
  void RecordReturn() {
    m_ejected_until = Time(0);
    m_consecutive_unreachable = 0;
  }
  /// Records that the server said that it is shutting down.
  /// @return true the first time
  bool RecordLeaving() { return !std::exchange(m_leaving, true); }
  /// Whether the server receives no further request.
  bool IsLeaving() const { return m_leaving; }
  /// Records whether the server may get requests by its registration and by the
  /// operator's orders. Any thread may call it, so that a server that leaves
  /// gets no request which waits in the queue of a busy traffic thread.
  void SetAvailable(bool available) { m_available = available; }
  /// Whether the server may get a request now, regardless of its load. Asked
  /// when a server is selected, and again right before the request is sent.
  bool MayGetRequests(Time now) const {
    return m_available && !m_leaving && !IsPaused(now);
  }
  /// Records that the server asked for no requests until a time. A shorter
  /// pause does not end a longer one.
  void RecordPause(Time until) {
    m_paused_until = std::max(m_paused_until, until);
  }
  bool IsPaused(Time now) const { return now < m_paused_until; }
  Time PausedUntil() const { return m_paused_until; }
  /// Records the limit that the server names; none if it names none.
  void RecordLimit(std::optional<RequestRate> limit) {
    m_limit = limit;
    if (!limit) m_withheld_until = Time(0);
  }
  /// Records the rate at which the server takes requests until it is warm.
  void RecordCold(Time until, RequestRate rate) {
    m_cold_until = until;
    m_cold_rate = rate;
  }
  /// The limit on the requests from all instances together: the lower of the
  /// one that the server names and the one of a cold server.
  std::optional<RequestRate> Limit(Time now) const {
    if (now >= m_cold_until) return m_limit;
    return std::min(m_cold_rate, m_limit.value_or(m_cold_rate));
  }
  /// Records that a limited server gets no request until a time, since no
  /// permit is expected before.
  void Withhold(Time until) { m_withheld_until = until; }
  bool IsWithheld(Time now) const {
    return Limit(now) && now < m_withheld_until;
  }
  Time WithheldUntil() const { return m_withheld_until; }
  Time EjectedUntil() const { return m_ejected_until; }
  /// Whether the server is ejected.
  bool IsEjected(Time now) const { return now < m_ejected_until; }

  /// Prompt tokens sent from this instance in requests without a first event.
  TokenCount QueuedTokens() const { return TokenCount(m_queue); }
  /// Requests that wait for their first event.
  std::uint64_t Waiting() const { return m_waiting.size(); }
  /// How much longer than predicted requests wait at this server, in
  /// milliseconds. Derived from recent first events and from the oldest request
  /// that still waits.
  double LagMs(Time now) const;
  /// Requests between their first event and their end.
  std::uint64_t Running() const { return m_running; }
  /// Moving average of the share of attempts that failed.
  double FailureShare() const { return m_failure_share; }
  double TokensPerMs() const { return m_tokens_per_ms; }
  const PrefixCacheModel& Cache() const { return m_cache; }
  /// What answers said, by which a later process of the server is told apart.
  ProcessNotices& Notices() { return m_notices; }
  /// Frees the memory of the prefix cache model.
  void ForgetPrompts() { m_cache = PrefixCacheModel(m_cache.Capacity()); }

 private:
  double DecayedLag(Time now) const;

  PrefixCacheModel m_cache;
  ProcessNotices m_notices;
  std::uint64_t m_queue = 0;  ///< tokens of requests without a first event
  std::uint64_t m_sent = 0;   ///< requests sent; the latest identifier
  std::map<std::uint64_t, Time> m_waiting;  ///< identifier to time sent
  double m_remote_tokens = 0;               ///< tokens sent by others
  Time m_remote_updated{0};
  double m_lag_ms = 0;
  Time m_lag_updated{0};
  std::uint64_t m_running = 0;
  double m_failure_share = 0;
  double m_tokens_per_ms;
  std::uint32_t m_consecutive_unreachable = 0;
  Time m_ejected_until{0};
  Time m_paused_until{0};
  std::optional<RequestRate> m_limit;
  Time m_cold_until{0};
  RequestRate m_cold_rate{0};
  Time m_withheld_until{0};
  bool m_leaving = false;
  std::atomic<bool> m_available{true};
};

/// A server that may receive requests.
struct Backend {
  ServerEntry entry;
  bool is_model = false;
  std::shared_ptr<BackendState> state;
  /// Rate of permits while it is cold; none for a service whose servers take
  /// all requests from their start.
  std::optional<RequestRate> cold_rate;
  Milliseconds cold_duration{0};  ///< from its start until it is warm
  std::chrono::nanoseconds cold_until{0};
};

/// Properties of a request that placement uses.
struct PlacementRequest {
  TokenCount prompt;              ///< zero for plain calls
  std::vector<PromptPart> parts;  ///< the last part is unique to the request
  Milliseconds latency_target{1000};  ///< time to first event or response
  std::vector<ServerId> tried;        ///< not selected again
  bool excludes_limited = false;      ///< servers that name a limit
};

struct PlacementContext {
  DomainId domain;  ///< failure domain of this instance
  std::chrono::nanoseconds now{0};
  std::size_t instances_in_domain = 1;  ///< including this one
  UnitDraw draw = 0;
};

struct Placement {
  std::size_t index = 0;      ///< into the list of backends passed in
  TokenCount uncached;        ///< estimated prompt tokens to compute
  TokenCount work;            ///< `uncached` plus the tokens queued ahead
  double first_event_ms = 0;  ///< predicted time to first event
};

/// Selects the server with the lowest cost: the predicted time to the first
/// event, plus the delay that the request causes to other requests, plus
/// penalties for another failure domain and for recent failures.
///
/// Servers of the instance's own failure domain are preferred, because the
/// instances of this domain know their load. Servers of other domains receive
/// the requests that the own domain's servers cannot serve in time.
///
/// Has no side effects, but reads the backends' states.
/// @return kNoServer when there is no server or all have been tried
Result<Placement> SelectBackend(const PlacementRequest& request,
                                const std::vector<Backend>& backends,
                                const PlacementContext& context);

}  // namespace cowslipknot::gateway
