#pragma once

#include <memory>
#include <vector>

#include "base/clock.h"
#include "cowslipknot/gateway/placement.h"

namespace cowslipknot::gateway {

/// Counts a request in the load of a backend server for the lifetime of the
/// object, which is created when the request is sent.
class InFlightRequestGuard {
 public:
  InFlightRequestGuard(std::shared_ptr<BackendState> state,
                       const Placement& placement,
                       const std::vector<PromptPart>& parts)
      : m_state(std::move(state)),
        m_placement(placement),
        m_sent(m_state->RecordSent(m_placement.uncached, parts,
                                   TimeSinceBoot())) {}
  InFlightRequestGuard(const InFlightRequestGuard&) = delete;
  InFlightRequestGuard& operator=(const InFlightRequestGuard&) = delete;
  ~InFlightRequestGuard() {
    if (m_first_event_received) {
      m_state->RecordFinished();
    } else {
      m_state->RecordNotStarted(m_sent, m_placement.uncached);
    }
  }

  /// @return how much longer than predicted it took, in milliseconds
  double OnFirstEvent() {
    m_first_event_received = true;
    return m_state->RecordFirstEvent(
        m_sent, m_placement.uncached, m_placement.work,
        m_placement.first_event_ms, TimeSinceBoot());
  }

 private:
  std::shared_ptr<BackendState> m_state;
  Placement m_placement;
  std::uint64_t m_sent;
  bool m_first_event_received = false;
};

}  // namespace cowslipknot::gateway
