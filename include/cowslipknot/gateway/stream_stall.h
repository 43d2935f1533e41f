#pragma once

#include <chrono>

#include "cowslipknot/gateway/routes.h"

/// Decides when a stream whose server sends no event is resumed elsewhere.
namespace cowslipknot::gateway {

/// What a stream has received since its last complete event.
struct StreamGap {
  Milliseconds since_event{0};  ///< how long its caller has got no event
  /// How long bytes have come that complete no event. Silences, in which a
  /// sound server sends nothing, are not part of it.
  Milliseconds trickle{0};
};

/// Measures the gap of a stream from the times at which bytes arrive.
///
/// Reads no clock: readings of a monotonic clock are arguments.
class StreamGapMeter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// @param max_event_gap  pause up to which bytes count as arriving steadily
  /// @param start          when the first byte arrived
  StreamGapMeter(Milliseconds max_event_gap, Time start)
      : m_max_event_gap(max_event_gap),
        m_last_event(start),
        m_last_byte(start) {}

  /// Records bytes that complete an event, or do not.
  void OnBytes(Time now, bool complete_event);
  StreamGap Gap(Time now) const;

 private:
  Milliseconds m_max_event_gap;
  Time m_last_event;  ///< or the first byte
  Time m_last_byte;
  Time::duration m_trickle{0};
  bool m_in_event = false;  ///< the last bytes completed no event
};

/// How long callers wait for the next event of a stream before they leave.
Milliseconds CallerPatience(const Route& route);

/// How long a caller may get no event before the stream resumes elsewhere. A
/// sound server may be silent for a second, so this is as long as leaves time
/// for another server to go on before the caller leaves.
Milliseconds SilenceTimeout(const Route& route);

/// How long a server may send bytes that complete no event, silences aside.
Milliseconds PartialEventTimeout(const Route& route);

enum class StallAction : std::uint8_t {
  kWait,    ///< for the same server
  kResume,  ///< at another server
};

/// Whether a stream makes no progress: its server is silent for long, or sends
/// bytes but no event.
bool IsStalled(const Route& route, const StreamGap& gap);

/// Decides on the server of a stream.
/// @param may_resume  another server may be used now. Otherwise the stream
///                    waits, since its server may go on.
StallAction DecideStall(const Route& route, const StreamGap& gap,
                        bool may_resume);

}  // namespace cowslipknot::gateway
