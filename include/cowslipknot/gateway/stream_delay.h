#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cowslipknot/gateway/routes.h"

/// Attributes the delays of a stream to the server, the link or the instance.
namespace cowslipknot::gateway {

/// The longest delays of a stream, each by where it arose.
struct StreamDelays {
  Milliseconds before_send{0};   ///< from the request to its first attempt
  Milliseconds before_first{0};  ///< from the first attempt to the first event
  /// Between events, when the server then went on at its pace: it computed
  /// prompts, preempted the request or was slow.
  Milliseconds server_pause{0};
  /// Between events, when several then arrived together: they were held on the
  /// way.
  Milliseconds link_pause{0};
  /// Between events of two attempts.
  Milliseconds resume_pause{0};
  /// From reading an event to the end of its write to the caller.
  Milliseconds held{0};
};

/// Measures the delays of a stream.
///
/// Reads no clock: readings of a monotonic clock are arguments. Needs no memory
/// for each event.
class StreamDelayMeter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// @param start  when the request was read
  explicit StreamDelayMeter(Time start) : m_start(start) {}

  /// Records that an attempt is sent.
  void OnSent(Time now);
  /// Records complete events that were read at once.
  void OnEvents(std::uint64_t count, Time now);
  /// Records that the events read last have been written to the caller.
  void OnWritten(Time now);

  const StreamDelays& Delays() const { return m_delays; }

 private:
  void EndPause(std::uint64_t count, Time now);

  Time m_start;
  Time m_first_sent{};
  Time m_last_read{};
  StreamDelays m_delays;
  Milliseconds m_server_pause_before{0};  ///< before the latest pause
  Milliseconds m_pause{0};                ///< the latest
  bool m_sent = false;
  bool m_begun = false;    ///< an event was read
  bool m_resumed = false;  ///< no event was read since the last attempt
};

enum class LateCause : std::uint8_t {
  kNone,
  kBeforeSend,  ///< first event late; most of the delay before the attempt
  kFirstEvent,  ///< first event late; most of the delay at the server
  kResume,      ///< pause over the target between two attempts
  kHeld,        ///< events held in this instance, or by the caller's link
  kLink,        ///< events held between server and instance
  kServer,      ///< pause over the target at the server
};

/// The label of a cause in logs and metrics.
std::string_view Describe(LateCause cause);

/// Why a stream missed its route's targets. The cause that the server has least
/// to do with is named if there are several.
LateCause FindLateCause(const Route& route, const StreamDelays& delays);

}  // namespace cowslipknot::gateway
