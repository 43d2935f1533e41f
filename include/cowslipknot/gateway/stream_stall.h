#pragma once

#include "cowslipknot/gateway/routes.h"

/// Decides when a stream whose server sends no event is resumed elsewhere.
namespace cowslipknot::gateway {

/// What a stream has received since its last complete event.
struct StreamGap {
  Milliseconds silence{0};        ///< since the last byte
  Milliseconds partial_event{0};  ///< since the first byte of a partial event
};

/// How long callers wait for the next event of a stream before they leave.
Milliseconds CallerPatience(const Route& route);

/// How long a server may send nothing before the stream resumes elsewhere. A
/// sound server may be silent for a second, so this is as long as leaves time
/// for another server to go on before the caller leaves.
Milliseconds SilenceTimeout(const Route& route);

/// How long a server may send bytes that do not complete an event.
Milliseconds PartialEventTimeout(const Route& route);

enum class StallAction : std::uint8_t {
  kWait,    ///< for the same server
  kResume,  ///< at another server
};

/// Decides on a silent server.
/// @param may_resume  another server may be used now. Otherwise the stream
///                    waits, since the silent one may go on.
StallAction DecideSilence(const Route& route, const StreamGap& gap,
                          bool may_resume);

/// Whether the server sends bytes but no event, which makes it faulty.
bool SendsNoEvent(const Route& route, const StreamGap& gap);

}  // namespace cowslipknot::gateway
