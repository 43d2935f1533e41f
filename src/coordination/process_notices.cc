#include "cowslipknot/gateway/process_notices.h"

#include <algorithm>
#include <iterator>

namespace cowslipknot::gateway {
namespace {

/// Notices that are kept of a process; the earliest are dropped.
constexpr std::size_t kMaxStatements = 32;
constexpr std::size_t kMaxWaits = 8;
/// A start time that lies longer before the listing of the former process, or
/// after that of its own, shows that clocks differ.
constexpr std::chrono::seconds kMaxUnlistedTime(60);
/// By how much an answer must precede a start time that contradicts its
/// connection.
constexpr std::chrono::seconds kClockTolerance(1);

}  // namespace

void ProcessNotices::RecordLost(Time opened) {
  m_lost_opened = std::max(m_lost_opened.value_or(opened), opened);
}

bool ProcessNotices::IsWorthKeeping(const ProcessNotice& notice) const {
  if (notice.is_leaving || notice.paused_until || notice.excess_wait_ms)
    return true;
  if (!notice.limit) return false;
  // Almost all answers name no limit, which matters only after one did.
  return notice.limit->limit ||
         std::ranges::any_of(m_statements, [](const ProcessNotice& known) {
           return known.limit && known.limit->limit;
         });
}

void ProcessNotices::Add(const ProcessNotice& notice) {
  if (!IsWorthKeeping(notice)) return;
  const bool is_wait = notice.excess_wait_ms.has_value();
  auto& notices = is_wait ? m_waits : m_statements;
  notices.push_back(notice);
  if (notices.size() > (is_wait ? kMaxWaits : kMaxStatements))
    notices.pop_front();
}

bool ProcessNotices::IsOfNext(const AnswerTimes& times, Time started,
                              Time now) const {
  const bool is_plausible =
      started >= m_listed - kMaxUnlistedTime && started <= now;
  if (!m_lost_opened) return is_plausible && times.sent >= started;
  if (times.opened <= *m_lost_opened) return false;
  return !is_plausible || times.read + kClockTolerance >= started;
}

std::vector<ProcessNotice> ProcessNotices::OfNext(Time started,
                                                  Time now) const {
  std::vector<ProcessNotice> notices;
  const auto is_of_next = [&](const ProcessNotice& notice) {
    return IsOfNext(notice.times, started, now);
  };
  std::ranges::copy_if(m_statements, std::back_inserter(notices), is_of_next);
  std::ranges::copy_if(m_waits, std::back_inserter(notices), is_of_next);
  return notices;
}

}  // namespace cowslipknot::gateway
