#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

#include "base/line_budget.h"

namespace cowslipknot {

/// Writes log lines to a descriptor without ever waiting for its reader, and
/// within a bound on their number. Lines that do not fit are counted, and the
/// count is written once there is room.
class BoundedAppender : public log4cplus::Appender {
 public:
  /// @param describe  makes the line that tells how many were left out
  BoundedAppender(int descriptor, std::string (*describe)(std::uint64_t));
  ~BoundedAppender() override;
  void close() override {}

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  bool Write(const std::string& line) const;

  int m_descriptor;
  std::string (*m_describe)(std::uint64_t);
  LineBudget m_budget;
  std::uint64_t m_dropped = 0;
};

}  // namespace cowslipknot
