#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

#include "base/line_rate_limiter.h"
#include "base/line_writer.h"

namespace cowslipknot {

/// Writes log lines to a file descriptor. Limits their rate and never blocks on
/// the descriptor's reader. Dropped lines are counted, and the count is written
/// before the next line that can be written.
class BoundedAppender : public log4cplus::Appender {
 public:
  /// @param format_dropped  formats the line that reports how many lines were
  ///                        dropped
  BoundedAppender(int descriptor, std::string (*format_dropped)(std::uint64_t));
  ~BoundedAppender() override;
  void close() override {}

  /// The descriptor that is written to.
  int Descriptor() const { return m_writer.Descriptor(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  LineWriter m_writer;
  std::string (*m_format_dropped)(std::uint64_t);
  LineRateLimiter m_limiter;
  std::uint64_t m_dropped = 0;
};

}  // namespace cowslipknot
