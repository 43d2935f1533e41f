#include "cowslipknot/coordination/shed_level.h"

#include <algorithm>
#include <cmath>

namespace cowslipknot {
namespace {

/// Time constant with which outcomes are forgotten.
constexpr double kMemorySeconds = 0.8;
/// Outcomes of fewer attempts show nothing.
constexpr double kMinAttempts = 3;
/// A shortage begins at this share of refusals. Single servers that refuse
/// without being full stay below.
constexpr double kBeginShare = 0.2;
/// Nor does it begin with one refusal.
constexpr double kMinRefusals = 1.5;
/// The level rises above this share of refusals and late attempts.
constexpr double kRiseShare = 0.15;
/// The level falls below this share.
constexpr double kFallShare = 0.08;
/// Change of the level in a second: up by excess share, and down.
constexpr double kRisePerSecond = 4;
constexpr double kFallPerSecond = 1.2;
/// Times between updates; after a longer one the state is too old to rise.
constexpr double kMinUpdateSeconds = 0.05;
constexpr double kMaxUpdateSeconds = 0.25;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void ShedLevel::SetClasses(std::uint32_t classes) {
  m_classes = classes;
  m_level = classes < 2 ? 0 : std::min(m_level, static_cast<double>(classes));
}

std::uint64_t ShedLevel::RecordSent(Milliseconds target, Time now) {
  m_waiting.emplace(++m_sent, now + target);
  return m_sent;
}

void ShedLevel::RecordFirstEvent(std::uint64_t attempt, Time now) {
  Decay(now);
  CountLate(now);
  if (m_waiting.erase(attempt) > 0) m_in_time += 1;
}

void ShedLevel::RecordRefused(std::uint64_t attempt, Time now) {
  Decay(now);
  m_waiting.erase(attempt);
  m_refused += 1;
}

void ShedLevel::Forget(std::uint64_t attempt, Time now) {
  CountLate(now);
  m_waiting.erase(attempt);
}

void ShedLevel::CountLate(Time now) {
  const auto late = std::erase_if(
      m_waiting, [now](const auto& attempt) { return attempt.second <= now; });
  m_late += static_cast<double>(late);
}

void ShedLevel::Decay(Time now) {
  const double kept =
      std::exp(-std::max(0.0, Seconds(now - m_decayed)) / kMemorySeconds);
  m_in_time *= kept;
  m_late *= kept;
  m_refused *= kept;
  m_decayed = std::max(m_decayed, now);
}

double ShedLevel::Update(Time now) {
  const double elapsed = Seconds(now - m_updated);
  if (m_classes < 2 || elapsed < kMinUpdateSeconds) return m_level;
  m_updated = now;
  Decay(now);
  CountLate(now);
  const double attempts = m_in_time + m_late + m_refused;
  const double missed = attempts > 0 ? (m_late + m_refused) / attempts : 0;
  const bool enough = attempts >= kMinAttempts;
  const bool begins =
      m_refused >= std::max(kMinRefusals, kBeginShare * attempts);
  const bool is_short = m_level > 0 || begins;
  if (enough && is_short && missed > kRiseShare) {
    m_level += kRisePerSecond * (missed - kRiseShare) *
               std::min(elapsed, kMaxUpdateSeconds);
  } else if (enough ? missed < kFallShare : m_waiting.empty()) {
    m_level -= kFallPerSecond * elapsed;
  }
  m_level = std::clamp(m_level, 0.0, static_cast<double>(m_classes));
  return m_level;
}

void ShedLevel::Average(double other) {
  if (m_classes < 2 || !std::isfinite(other)) return;
  m_level =
      std::clamp((m_level + other) / 2, 0.0, static_cast<double>(m_classes));
}

double ShedLevel::ShareAbove(double base) const {
  return kMaxRefusedShare * std::clamp(m_level - base, 0.0, 1.0);
}

double ShedLevel::RefusedShare(const Urgency& urgency) const {
  return ShareAbove(static_cast<double>(urgency.classes) - 1 - urgency.rank);
}

double ShedLevel::RefusedShareOfReturn(const Urgency& urgency) const {
  return ShareAbove(static_cast<double>(urgency.classes) - urgency.rank);
}

RequestRate ShedLevel::ServedRate(Time now) const {
  const double age = std::max(0.0, Seconds(now - m_decayed));
  return RequestRate(m_in_time * std::exp(-age / kMemorySeconds) /
                     kMemorySeconds);
}

}  // namespace cowslipknot
