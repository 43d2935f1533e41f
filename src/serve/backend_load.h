#pragma once

#include <memory>
#include <vector>

#include "base/clock.h"
#include "cowslipknot/gateway/placement.h"

namespace cowslipknot::gateway {

/// Counts a request in the load of a backend server for the lifetime of the
/// object, which is created when the request is sent.
class BackendLoad {
 public:
  BackendLoad(std::shared_ptr<BackendState> state, const Placement& placement,
              const std::vector<PromptPart>& parts)
      : m_state(std::move(state)),
        m_placement(placement),
        m_sent(m_state->NoteSent(m_placement.uncached, parts, BootTime())) {}
  BackendLoad(const BackendLoad&) = delete;
  BackendLoad& operator=(const BackendLoad&) = delete;
  ~BackendLoad() {
    if (m_first_event_received) {
      m_state->NoteFinished();
    } else {
      m_state->NoteUnstarted(m_sent, m_placement.uncached);
    }
  }

  void NoteFirstEvent() {
    m_first_event_received = true;
    m_state->NoteFirstEvent(m_sent, m_placement.uncached, m_placement.work,
                            m_placement.first_event_ms, BootTime());
  }

 private:
  std::shared_ptr<BackendState> m_state;
  Placement m_placement;
  std::uint64_t m_sent;
  bool m_first_event_received = false;
};

}  // namespace cowslipknot::gateway
