#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cowslipknot/coordination/crash_quarantine.h"

/// Weighs the crashes that speak against each suspect. Pure.
namespace cowslipknot {

using CrashTime = CrashQuarantine::Time;

/// Crashes that quarantine a suspect: without any completed answer, and of one
/// that was harmless before.
inline constexpr std::size_t kMinCrashes = 3;
inline constexpr std::size_t kMinCrashesAfterCompletion = 5;

/// Suspects that the same crashes speak against.
struct SuspectGroup {
  SuspectId::Kind kind = SuspectId::Kind::kPromptPart;
  std::vector<CrashTime> crashes;  ///< in order
  bool completed_before = false;
  auto operator<=>(const SuspectGroup&) const = default;
};

/// What speaks against each suspect.
using SuspectGroups = std::map<SuspectId, SuspectGroup>;

/// The crashes that count: of a burst, only some.
std::size_t CountCrashes(const SuspectGroup& group);

/// Records a crash with a suspect, unless it was completed since.
void CountCrash(SuspectGroups& evidence, const SuspectId& suspect, CrashTime at,
                CrashTime last_completion);

/// Takes a crash with a known cause out of what speaks against a suspect.
void DiscountCrash(SuspectGroups& evidence, const SuspectId& suspect,
                   CrashTime at);

/// Erases suspects with too few crashes for any verdict.
void EraseWeakSuspects(SuspectGroups& evidence);

/// Returns the suspects with the most crashes, if these suffice.
std::optional<Quarantine> FindLikeliestCause(const SuspectGroups& evidence);

}  // namespace cowslipknot
