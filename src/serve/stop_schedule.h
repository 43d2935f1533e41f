#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"
#include "cowslipknot/ids.h"

namespace cowslipknot::gateway {

/// A planned stop of this instance, and the requests that it has to end.
/// Single-threaded.
class StopSchedule {
 public:
  /// Calls `on_end` when the instance ends its requests, unless the object was
  /// destroyed before.
  class Subscription {
   public:
    Subscription(StopSchedule& schedule, std::function<void()> on_end)
        : m_schedule(schedule), m_id(schedule.m_next_id++) {
      m_schedule.m_subscribers[m_id] = std::move(on_end);
    }
    Subscription(const Subscription&) = delete;
    Subscription& operator=(const Subscription&) = delete;
    ~Subscription() { m_schedule.m_subscribers.erase(m_id); }

   private:
    StopSchedule& m_schedule;
    std::uint64_t m_id;
  };

  void Begin(SteadyClock::time_point end) { m_end = end; }

  /// Time until requests are ended; empty if no stop has begun.
  std::optional<Milliseconds> TimeLeft() const {
    if (!m_end) return std::nullopt;
    const auto left =
        std::chrono::duration_cast<Milliseconds>(*m_end - SteadyClock::now());
    return std::max(left, Milliseconds(0));
  }

  /// Ends the requests in progress. A callback must not destroy a subscription.
  void EndRequests() const {
    for (const auto& [id, on_end] : m_subscribers) on_end();
  }

 private:
  std::optional<SteadyClock::time_point> m_end;
  std::map<std::uint64_t, std::function<void()>> m_subscribers;
  std::uint64_t m_next_id = 0;
};

}  // namespace cowslipknot::gateway
