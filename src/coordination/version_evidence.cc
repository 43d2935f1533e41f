#include "cowslipknot/gateway/version_evidence.h"

#include <algorithm>

namespace cowslipknot::gateway {
namespace {

/// Values in a baseline, and how many are needed to judge.
constexpr std::size_t kBaselineValues = 48;
constexpr std::size_t kMinBaselineValues = 8;
/// A time counts as slow beyond this multiple of the median. Differences in
/// speed and load between sound servers stay below.
constexpr double kSlowFactor = 2.5;
/// Differences up to this are within the delays of network and scheduling.
constexpr double kSlowMarginMs = 30;
/// Expected time to the first event: a constant and the prompt's computation at
/// a nominal rate. Only its proportions matter, since it is compared with the
/// baseline.
constexpr double kExpectedBaseMs = 20;
constexpr double kExpectedTokensPerMs = 50;
/// Gaps between events after which the pace of a stream is judged, and how many
/// a stream that ended sooner must have.
constexpr std::uint64_t kJudgedGaps = 6;
constexpr std::uint64_t kMinGaps = 2;

double Ms(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double ExpectedMs(const SentAttempt& sent) {
  return kExpectedBaseMs +
         static_cast<double>(sent.work.Count()) / kExpectedTokensPerMs;
}

}  // namespace

void LatencyBaseline::Record(double value) {
  if (m_recent.size() < kBaselineValues) {
    m_recent.push_back(value);
  } else {
    m_recent[m_next] = value;
    m_next = (m_next + 1) % kBaselineValues;
  }
  if (m_recent.size() < kMinBaselineValues) return;
  std::vector<double> sorted = m_recent;
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  m_slow_limit = kSlowFactor * *middle;
}

std::uint64_t VersionEvidence::OnSent(const SentAttempt& attempt, Time now) {
  Running running;
  running.sent = attempt;
  running.sent_at = now;
  m_running.emplace(++m_sent, std::move(running));
  if (!attempt.move.Empty()) {
    RouteEvidence& seen = m_evidence[attempt.move][attempt.route];
    ++(attempt.is_new ? seen.new_sent : seen.old_sent);
  }
  return m_sent;
}

void VersionEvidence::OnEvents(std::uint64_t attempt, std::uint64_t events,
                               Time now) {
  const auto found = m_running.find(attempt);
  if (found == m_running.end() || events <= found->second.events) return;
  Running& running = found->second;
  if (IsOverdue(running, now)) RecordSlowness(running, true);
  if (running.events == 0) RecordFirstEvent(running, now);
  const bool was_judged = running.Gaps() >= kJudgedGaps;
  running.events = events;
  running.last_event_at = now;
  if (was_judged || running.Gaps() < kJudgedGaps) return;
  JudgePace(running);
}

void VersionEvidence::OnEnd(std::uint64_t attempt, bool failed, Time now) {
  const auto found = m_running.find(attempt);
  if (found == m_running.end()) return;
  Running& running = found->second;
  if (IsOverdue(running, now)) RecordSlowness(running, true);
  if (!failed && running.events == 0) RecordFirstEvent(running, now);
  if (running.Gaps() >= kMinGaps && running.Gaps() < kJudgedGaps)
    JudgePace(running);
  RecordSlowness(running, false);
  if (!running.sent.move.Empty()) {
    RouteEvidence& seen = m_evidence[running.sent.move][running.sent.route];
    (running.sent.is_new ? seen.new_errors : seen.old_errors) +=
        RequestCounts{1, failed ? 1U : 0U};
  }
  m_running.erase(found);
}

void VersionEvidence::Forget(std::uint64_t attempt, Time now) {
  const auto found = m_running.find(attempt);
  if (found == m_running.end()) return;
  if (IsOverdue(found->second, now)) RecordSlowness(found->second, true);
  m_running.erase(found);
}

const VersionEvidence::ByMove& VersionEvidence::Collect(Time now) {
  for (auto& [id, running] : m_running) {
    const bool undecided =
        !running.sent.move.Empty() && !running.is_slowness_known;
    if (undecided && IsOverdue(running, now)) RecordSlowness(running, true);
  }
  return m_evidence;
}

VersionEvidence::RouteBaselines& VersionEvidence::BaselinesOf(
    const Running& attempt) {
  return m_baselines[{attempt.sent.service, attempt.sent.route}];
}

bool VersionEvidence::IsOverdue(const Running& attempt, Time now) {
  const RouteBaselines& usual = BaselinesOf(attempt);
  if (attempt.events == 0) {
    return Ms(now - attempt.sent_at) >
           usual.first_event.SlowLimit() * ExpectedMs(attempt.sent) +
               kSlowMarginMs;
  }
  const auto gaps = std::max(attempt.Gaps() + 1, kJudgedGaps);
  return Ms(now - attempt.first_event_at) >
         usual.event_gap.SlowLimit() * static_cast<double>(gaps) +
             kSlowMarginMs;
}

void VersionEvidence::RecordFirstEvent(Running& attempt, Time now) {
  attempt.first_event_at = now;
  if (attempt.sent.is_new) return;
  BaselinesOf(attempt).first_event.Record(Ms(now - attempt.sent_at) /
                                          ExpectedMs(attempt.sent));
}

void VersionEvidence::JudgePace(Running& attempt) {
  LatencyBaseline& usual = BaselinesOf(attempt).event_gap;
  const auto gaps = static_cast<double>(attempt.Gaps());
  const double took = Ms(attempt.last_event_at - attempt.first_event_at);
  RecordSlowness(attempt, took > usual.SlowLimit() * gaps + kSlowMarginMs);
  if (!attempt.sent.is_new) usual.Record(took / gaps);
}

void VersionEvidence::RecordSlowness(Running& attempt, bool slow) {
  if (attempt.is_slowness_known) return;
  attempt.is_slowness_known = true;
  if (attempt.sent.move.Empty()) return;
  RouteEvidence& seen = m_evidence[attempt.sent.move][attempt.sent.route];
  (attempt.sent.is_new ? seen.new_slow : seen.old_slow) +=
      RequestCounts{1, slow ? 1U : 0U};
}

}  // namespace cowslipknot::gateway
