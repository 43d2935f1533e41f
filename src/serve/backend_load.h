#pragma once

#include <memory>
#include <vector>

#include "base/clock.h"
#include "cowslipknot/gateway/placement.h"

namespace cowslipknot::gateway {

/// Counts a request at a server from its sending to its end.
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
    if (m_begun) {
      m_state->NoteFinished();
    } else {
      m_state->NoteUnstarted(m_sent, m_placement.uncached);
    }
  }

  void NoteFirstEvent() {
    m_begun = true;
    m_state->NoteFirstEvent(m_sent, m_placement.uncached, m_placement.work,
                            m_placement.first_event_ms, BootTime());
  }

 private:
  std::shared_ptr<BackendState> m_state;
  Placement m_placement;
  std::uint64_t m_sent;
  bool m_begun = false;
};

}  // namespace cowslipknot::gateway
