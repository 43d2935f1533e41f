#include "base/bounded_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include "base/clock.h"

namespace cowslipknot {
namespace {

/// With lines of about 250 bytes, limits the log to 50 KB/s in the long run.
constexpr double kMaxLinesPerSecond = 200;
constexpr double kMaxBurstLines = 600;
/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t kMaxLineBytes = 4096;

}  // namespace

BoundedAppender::BoundedAppender(int descriptor,
                                 std::string (*format_dropped)(std::uint64_t))
    : m_descriptor(descriptor),
      m_format_dropped(format_dropped),
      m_limiter(kMaxLinesPerSecond, kMaxBurstLines) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

bool BoundedAppender::Write(const std::string& line) const {
  pollfd pfd{m_descriptor, POLLOUT, 0};
  if (::poll(&pfd, 1, 0) != 1 || (pfd.revents & POLLOUT) == 0) return false;
  const std::size_t size = std::min(line.size(), kMaxLineBytes);
  return ::write(m_descriptor, line.data(), size) == static_cast<ssize_t>(size);
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (!m_limiter.TryAcquire(TimeSinceBoot())) {
    ++m_dropped;
    return;
  }
  if (m_dropped > 0 && Write(m_format_dropped(m_dropped) + "\n")) m_dropped = 0;
  if (!Write(event.getMessage() + "\n")) ++m_dropped;
}

}  // namespace cowslipknot
