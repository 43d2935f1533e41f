#include "base/bounded_appender.h"

#include <log4cplus/spi/loggingevent.h>

#include "base/clock.h"

namespace cowslipknot {
namespace {

/// With lines of about 250 bytes, limits the log to 50 KB/s in the long run.
constexpr double kMaxLinesPerSecond = 200;
constexpr double kMaxBurstLines = 600;

}  // namespace

BoundedAppender::BoundedAppender(int descriptor,
                                 std::string (*format_dropped)(std::uint64_t))
    : m_writer(descriptor),
      m_format_dropped(format_dropped),
      m_limiter(kMaxLinesPerSecond, kMaxBurstLines) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (!m_limiter.TryAcquire(TimeSinceBoot())) {
    ++m_dropped;
    return;
  }
  if (m_dropped > 0 && m_writer.Write(m_format_dropped(m_dropped))) {
    m_dropped = 0;
  }
  if (!m_writer.Write(event.getMessage())) ++m_dropped;
}

}  // namespace cowslipknot
