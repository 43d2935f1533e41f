#include "cowslipknot/gateway/stream_delay.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// Events that a sound link and instance delay by more count as held.
constexpr Milliseconds kMaxEventDelay(200);
/// Events that arrive within this time of each other count as one arrival.
constexpr std::chrono::milliseconds kTogether(2);

Milliseconds Elapsed(StreamDelayMeter::Time since, StreamDelayMeter::Time now) {
  return std::chrono::duration_cast<Milliseconds>(now - since);
}

}  // namespace

void StreamDelayMeter::OnSent(Time now) {
  m_resumed = m_sent;
  if (m_sent) return;
  m_sent = true;
  m_first_sent = now;
  m_delays.before_send = Elapsed(m_start, now);
}

void StreamDelayMeter::OnEvents(std::uint64_t count, Time now) {
  if (m_begun) {
    EndPause(count, now);
  } else {
    m_delays.before_first = Elapsed(m_first_sent, now);
  }
  m_begun = true;
  m_resumed = false;
  m_last_read = now;
}

void StreamDelayMeter::EndPause(std::uint64_t count, Time now) {
  if (m_resumed) {
    m_delays.resume_pause =
        std::max(m_delays.resume_pause, Elapsed(m_last_read, now));
    m_pause = Milliseconds(0);
    return;
  }
  if (now - m_last_read <= kTogether) {
    // The latest pause ended with several events after all.
    m_delays.server_pause = m_server_pause_before;
    m_delays.link_pause = std::max(m_delays.link_pause, m_pause);
    return;
  }
  m_pause = Elapsed(m_last_read, now);
  m_server_pause_before = m_delays.server_pause;
  Milliseconds& longest =
      count > 1 ? m_delays.link_pause : m_delays.server_pause;
  longest = std::max(longest, m_pause);
}

void StreamDelayMeter::OnWritten(Time now) {
  m_delays.held = std::max(m_delays.held, Elapsed(m_last_read, now));
}

std::string_view Describe(LateCause cause) {
  switch (cause) {
    case LateCause::kNone:
      return "none";
    case LateCause::kBeforeSend:
      return "before_send";
    case LateCause::kFirstEvent:
      return "first_event";
    case LateCause::kResume:
      return "resume";
    case LateCause::kHeld:
      return "held";
    case LateCause::kLink:
      return "link";
    case LateCause::kServer:
      return "server";
  }
  return "none";
}

LateCause FindLateCause(const Route& route, const StreamDelays& delays) {
  if (delays.before_send + delays.before_first > route.latency_target) {
    return delays.before_send > delays.before_first ? LateCause::kBeforeSend
                                                    : LateCause::kFirstEvent;
  }
  if (delays.resume_pause > route.max_event_gap) return LateCause::kResume;
  if (delays.held > kMaxEventDelay) return LateCause::kHeld;
  if (delays.link_pause > std::min(kMaxEventDelay, route.max_event_gap)) {
    return LateCause::kLink;
  }
  if (delays.server_pause > route.max_event_gap) return LateCause::kServer;
  return LateCause::kNone;
}

}  // namespace cowslipknot::gateway
