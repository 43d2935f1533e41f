#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "cowslipknot/coordination/suspect_id.h"

/// Answers that show that their requests crash no server.
namespace cowslipknot {

/// Times at which things were last used. Forgets the longest unused ones.
class RecentTimes {
 public:
  using Time = std::chrono::nanoseconds;
  /// @param capacity  the latest ones that are kept at least
  explicit RecentTimes(std::size_t capacity) : m_capacity(capacity) {}

  /// Zero if unknown.
  Time Get(std::uint64_t key) const;
  /// Keeps the later of two times.
  void Set(std::uint64_t key, Time time);

 private:
  std::size_t m_capacity;
  /// When the first map is full it replaces the second one.
  std::unordered_map<std::uint64_t, Time> m_latest;
  std::unordered_map<std::uint64_t, Time> m_older;
};

/// Tells when an answer that is still in progress shows that the parts of its
/// prompt crash no server: such a part crashes a server that begins to answer.
///
/// Pure: the time is an argument. Not thread-safe.
class AnswerProgress {
 public:
  using Time = std::chrono::nanoseconds;

  /// Records that a part of the answer arrived.
  /// @return true once, when the answer has been in progress for long enough
  bool OnReceived(Time now);
  bool IsHarmless() const { return m_is_harmless; }

 private:
  std::optional<Time> m_last;
  Time m_in_progress{0};
  bool m_is_harmless = false;
};

/// When the latest harmless answers with suspects were sent. Forgets the
/// longest unused suspects, but none that a crash is counted against.
class HarmlessAnswers {
 public:
  using Time = RecentTimes::Time;

  HarmlessAnswers();

  /// Zero if unknown.
  Time Get(const SuspectId& suspect) const;
  /// Keeps the later of two times.
  void Set(const SuspectId& suspect, Time sent);
  /// Begins and ends to keep the time of a suspect of a crash.
  void Pin(const SuspectId& suspect);
  void Unpin(const SuspectId& suspect);

 private:
  RecentTimes& RecentOf(SuspectId::Kind kind);
  const RecentTimes& RecentOf(SuspectId::Kind kind) const;

  std::map<SuspectId, Time> m_pinned;
  RecentTimes m_parts;
  RecentTimes m_requests;
};

/// How far an answer was when it broke off.
enum class AnswerStage : std::uint8_t {
  kBegun,       ///< or not even begun
  kInProgress,  ///< AnswerProgress found it harmless
};

}  // namespace cowslipknot
