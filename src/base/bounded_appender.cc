#include "base/bounded_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include "base/clock.h"

namespace cowslipknot {
namespace {

/// Lines of about 250 bytes: 50 KB a second at most in the long run.
constexpr double kLinesPerSecond = 200;
constexpr double kLinesAtOnce = 600;
/// A pipe that is writable takes this many bytes without blocking.
constexpr std::size_t kMostBytes = 4096;

}  // namespace

BoundedAppender::BoundedAppender(int descriptor,
                                 std::string (*describe)(std::uint64_t))
    : m_descriptor(descriptor),
      m_describe(describe),
      m_budget(kLinesPerSecond, kLinesAtOnce) {}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

bool BoundedAppender::Write(const std::string& line) const {
  pollfd ready{m_descriptor, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  const std::size_t size = std::min(line.size(), kMostBytes);
  return ::write(m_descriptor, line.data(), size) == static_cast<ssize_t>(size);
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent& event) {
  if (!m_budget.Take(BootTime())) {
    ++m_dropped;
    return;
  }
  if (m_dropped > 0 && Write(m_describe(m_dropped) + "\n")) m_dropped = 0;
  if (!Write(event.getMessage() + "\n")) ++m_dropped;
}

}  // namespace cowslipknot
