#include "cowslipknot/gateway/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace cowslipknot::gateway {
namespace {

using Time = PromptQuarantine::Time;

/// Crashes that quarantine a part: without any completed answer, and of a part
/// that was harmless before.
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kMinCrashesAfterCompletion = 5;
/// Crashes within this time of a counted one are not counted, since servers
/// that are lost together end within it. A part that was answered completely
/// before is common enough to be at many servers, which may also fail in turn.
constexpr Time kCrashSpacing = std::chrono::milliseconds(50);
constexpr Time kCrashSpacingAfterCompletion = std::chrono::milliseconds(250);
/// Crashes after which a request with a part that was never answered completely
/// is not sent to another server.
constexpr std::size_t kCrashesWithoutRetry = 2;
/// Time from the last crash to the first trial. It doubles with each further
/// crash, up to the maximum.
constexpr Time kFirstTrialDelay = std::chrono::seconds(60);
constexpr Time kMaxTrialDelay = std::chrono::minutes(30);
/// Bounds of the memory used.
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxPartsPerCrash = 256;
constexpr std::size_t kMaxCompletions = 4096;

Time TrialDelay(const Quarantine& quarantine) {
  Time delay = kFirstTrialDelay;
  for (std::size_t i = kMinCrashes; i < quarantine.crashes; ++i) {
    delay = std::min(2 * delay, kMaxTrialDelay);
  }
  return delay;
}

bool ContainsAll(const SharedParts& parts, const SharedParts& wanted) {
  return std::ranges::all_of(wanted, [&parts](std::uint64_t part) {
    return std::ranges::find(parts, part) != parts.end();
  });
}

/// A part that is suspected, with the times of the crashes in common.
struct Suspect {
  std::vector<Time> crashes;
  bool completed_before = false;
};

std::size_t CountSpaced(const Suspect& suspect) {
  const Time spacing =
      suspect.completed_before ? kCrashSpacingAfterCompletion : kCrashSpacing;
  std::vector<Time> crashes = suspect.crashes;
  std::ranges::sort(crashes);
  std::size_t count = 0;
  Time last{0};
  for (const Time at : crashes) {
    if (count > 0 && at - last < spacing) continue;
    ++count;
    last = at;
  }
  return count;
}

}  // namespace

SharedParts SharedPartsOf(const std::vector<PromptPart>& prompt) {
  SharedParts parts;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    parts.push_back(prompt[i].id);
  return parts;
}

Time PromptQuarantine::LastCompletion(std::uint64_t part) const {
  Time last{0};
  for (const auto* completions : {&m_completions, &m_older_completions}) {
    const auto found = completions->find(part);
    if (found != completions->end()) last = std::max(last, found->second);
  }
  return last;
}

void PromptQuarantine::SetCompletion(std::uint64_t part, Time sent) {
  if (m_completions.size() >= kMaxCompletions && !m_completions.contains(part))
    m_older_completions = std::exchange(m_completions, {});
  Time& last = m_completions[part];
  last = std::max(last, sent);
}

void PromptQuarantine::RecordCompletion(const SharedParts& parts, Time sent) {
  bool quarantined = false;
  for (const std::uint64_t part : parts) {
    SetCompletion(part, sent);
    quarantined = quarantined ||
                  std::ranges::any_of(m_quarantines, [part](const auto& known) {
                    return ContainsAll(known.parts, {part});
                  });
  }
  if (quarantined) Recompute();
}

void PromptQuarantine::AddPart(Crash& crash, std::uint64_t part) {
  if (crash.parts.size() < kMaxPartsPerCrash) crash.parts.insert(part);
}

void PromptQuarantine::DropOldestCrash() {
  if (m_crashes.size() < kMaxCrashes) return;
  m_crashes.erase(std::ranges::min_element(
      m_crashes, {}, [](const auto& item) { return item.second.at; }));
}

PromptQuarantine::BreakOff PromptQuarantine::RecordBreakOff(
    const ServerBoot& boot, const SharedParts& parts, Time now) {
  const bool is_new = !m_crashes.contains(boot);
  if (is_new) DropOldestCrash();
  Crash& crash = m_crashes[boot];
  if (is_new) crash.at = now;
  for (const std::uint64_t part : parts) AddPart(crash, part);
  if (is_new) return BreakOff::kNew;
  if (!crash.confirmed) return BreakOff::kPending;
  Recompute();
  return BreakOff::kConfirmed;
}

void PromptQuarantine::ConfirmCrash(const ServerBoot& boot) {
  const auto found = m_crashes.find(boot);
  if (found == m_crashes.end()) return;
  found->second.confirmed = true;
  Recompute();
}

void PromptQuarantine::DiscardCrash(const ServerBoot& boot) {
  const auto found = m_crashes.find(boot);
  if (found == m_crashes.end() || found->second.confirmed) return;
  m_crashes.erase(found);
}

std::optional<Quarantine> PromptQuarantine::FindWorst(
    const CrashList& unexplained) const {
  std::map<std::uint64_t, Suspect> suspects;
  for (const auto* crash : unexplained) {
    for (const std::uint64_t part : crash->second.parts) {
      const Time last_completion = LastCompletion(part);
      if (crash->second.at <= last_completion) continue;
      Suspect& suspect = suspects[part];
      suspect.crashes.push_back(crash->second.at);
      suspect.completed_before = last_completion.count() > 0;
    }
  }
  std::optional<Quarantine> worst;
  const Suspect* reason = nullptr;
  for (const auto& [part, suspect] : suspects) {
    const std::size_t count = CountSpaced(suspect);
    const std::size_t needed =
        suspect.completed_before ? kMinCrashesAfterCompletion : kMinCrashes;
    if (count < needed) continue;
    const bool is_worse =
        !worst || count > worst->crashes ||
        (count == worst->crashes && reason->completed_before &&
         !suspect.completed_before);
    if (is_worse) {
      worst = Quarantine{{part}, count, std::ranges::max(suspect.crashes)};
      reason = &suspect;
    } else if (suspect.crashes == reason->crashes &&
               suspect.completed_before == reason->completed_before) {
      worst->parts.push_back(part);
    }
  }
  return worst;
}

void PromptQuarantine::Recompute() {
  CrashList unexplained;
  for (const auto& item : m_crashes) {
    if (item.second.confirmed) unexplained.push_back(&item);
  }
  m_quarantines.clear();
  while (auto worst = FindWorst(unexplained)) {
    std::erase_if(unexplained, [&worst](const auto* crash) {
      return crash->second.parts.contains(worst->parts.front());
    });
    m_quarantines.push_back(std::move(*worst));
  }
  std::erase_if(m_trials, [this](const auto& trial) {
    return std::ranges::none_of(m_quarantines, [&trial](const auto& known) {
      return known.parts == trial.first;
    });
  });
}

PromptQuarantine::Decision PromptQuarantine::Decide(
    const SharedParts& parts, Time now,
    const std::function<bool(const Quarantine&)>& runs_trials) {
  for (const auto& quarantine : m_quarantines) {
    if (!ContainsAll(parts, quarantine.parts)) continue;
    const Time delay = TrialDelay(quarantine);
    const auto trial = m_trials.find(quarantine.parts);
    const Time last = trial == m_trials.end()
                          ? quarantine.last_crash
                          : std::max(quarantine.last_crash, trial->second);
    const Time due = last + delay;
    Decision decision;
    decision.quarantine = quarantine;
    if (now >= due && runs_trials(quarantine)) {
      m_trials[quarantine.parts] = now;
      decision.verdict = Verdict::kTrial;
      return decision;
    }
    decision.verdict = Verdict::kRefuse;
    // An instance that runs no trials learns of their result only some time
    // after they are due.
    decision.until_trial = std::chrono::ceil<Milliseconds>(
        std::max(due - now, kFirstTrialDelay / 2));
    return decision;
  }
  return Decision();
}

bool PromptQuarantine::MayRetry(const SharedParts& parts) const {
  const bool quarantined =
      std::ranges::any_of(m_quarantines, [&parts](const auto& quarantine) {
        return ContainsAll(parts, quarantine.parts);
      });
  if (quarantined) return false;
  return std::ranges::none_of(parts, [this](std::uint64_t part) {
    if (LastCompletion(part).count() > 0) return false;
    const auto crashes = std::ranges::count_if(
        m_crashes,
        [part](const auto& item) { return item.second.parts.contains(part); });
    return static_cast<std::size_t>(crashes) >= kCrashesWithoutRetry;
  });
}

PromptEvidence PromptQuarantine::ExportCrashes(const CrashList& crashes) const {
  PromptEvidence evidence;
  for (const auto* item : crashes) {
    evidence.crashes.push_back(
        {item->first, item->second.at, item->second.parts});
    for (const std::uint64_t part : item->second.parts) {
      const Time last = LastCompletion(part);
      if (last.count() > 0) evidence.completions[part] = last;
    }
  }
  return evidence;
}

PromptEvidence PromptQuarantine::Export() const {
  CrashList crashes;
  for (const auto& item : m_crashes) {
    if (item.second.confirmed) crashes.push_back(&item);
  }
  return ExportCrashes(crashes);
}

PromptEvidence PromptQuarantine::Export(const ServerBoot& boot) const {
  const auto found = m_crashes.find(boot);
  if (found == m_crashes.end()) return PromptEvidence();
  return ExportCrashes({&*found});
}

void PromptQuarantine::Merge(const PromptEvidence& evidence) {
  for (const auto& received : evidence.crashes) {
    const bool is_new = !m_crashes.contains(received.boot);
    if (is_new) DropOldestCrash();
    Crash& crash = m_crashes[received.boot];
    crash.at = is_new ? received.at : std::min(crash.at, received.at);
    crash.confirmed = true;
    for (const std::uint64_t part : received.parts) AddPart(crash, part);
  }
  for (const auto& [part, sent] : evidence.completions)
    SetCompletion(part, sent);
  if (!evidence.Empty()) Recompute();
}

}  // namespace cowslipknot::gateway
