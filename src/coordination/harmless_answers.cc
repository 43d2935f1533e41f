#include "cowslipknot/coordination/harmless_answers.h"

#include <algorithm>
#include <utility>

namespace cowslipknot {
namespace {

using Time = RecentTimes::Time;

/// Time in progress that shows that an answer is harmless.
constexpr Time kHarmlessProgress = std::chrono::seconds(1);
/// A longer pause counts as this much: what arrives after it may have been held
/// up on the way since before a crash.
constexpr Time kMaxCountedPause = std::chrono::milliseconds(250);
/// Suspects whose latest answers are kept at least.
constexpr std::size_t kMaxParts = 4096;
constexpr std::size_t kMaxRequests = 8192;

}  // namespace

Time RecentTimes::Get(std::uint64_t key) const {
  Time last{0};
  for (const auto* times : {&m_latest, &m_older}) {
    const auto found = times->find(key);
    if (found != times->end()) last = std::max(last, found->second);
  }
  return last;
}

void RecentTimes::Set(std::uint64_t key, Time time) {
  if (m_latest.size() >= m_capacity && !m_latest.contains(key))
    m_older = std::exchange(m_latest, {});
  Time& last = m_latest[key];
  last = std::max(last, time);
}

bool AnswerProgress::OnReceived(Time now) {
  if (m_last) m_in_progress += std::min(now - *m_last, kMaxCountedPause);
  m_last = now;
  if (m_is_harmless || m_in_progress < kHarmlessProgress) return false;
  m_is_harmless = true;
  return true;
}

HarmlessAnswers::HarmlessAnswers()
    : m_parts(kMaxParts), m_requests(kMaxRequests) {}

RecentTimes& HarmlessAnswers::RecentOf(SuspectId::Kind kind) {
  return kind == SuspectId::Kind::kRequest ? m_requests : m_parts;
}

const RecentTimes& HarmlessAnswers::RecentOf(SuspectId::Kind kind) const {
  return kind == SuspectId::Kind::kRequest ? m_requests : m_parts;
}

Time HarmlessAnswers::Get(const SuspectId& suspect) const {
  const auto pinned = m_pinned.find(suspect);
  return pinned != m_pinned.end() ? pinned->second
                                  : RecentOf(suspect.kind).Get(suspect.value);
}

void HarmlessAnswers::Set(const SuspectId& suspect, Time sent) {
  const auto pinned = m_pinned.find(suspect);
  if (pinned != m_pinned.end()) {
    pinned->second = std::max(pinned->second, sent);
  } else {
    RecentOf(suspect.kind).Set(suspect.value, sent);
  }
}

void HarmlessAnswers::Pin(const SuspectId& suspect) {
  m_pinned.try_emplace(suspect, Get(suspect));
}

void HarmlessAnswers::Unpin(const SuspectId& suspect) {
  const Time last = Get(suspect);
  m_pinned.erase(suspect);
  if (last.count() > 0) Set(suspect, last);
}

}  // namespace cowslipknot
