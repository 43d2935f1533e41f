#include "cowslipknot/coordination/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/suspect_groups.h"

namespace cowslipknot {
namespace {

using Time = CrashQuarantine::Time;

/// Evidence of others is this much older than it says at most.
constexpr Time kMaxTransferTime = std::chrono::seconds(1);
/// Crashes after which a request with a suspect that was never answered
/// completely is not sent to another server.
constexpr std::size_t kCrashesWithoutRetry = 2;
/// Time from the last crash to the first trial. It doubles with each further
/// crash, up to the maximum.
constexpr Time kFirstTrialDelay = std::chrono::seconds(60);
constexpr Time kMaxTrialDelay = std::chrono::minutes(30);
/// No trial follows the last of so many crashes by one request, which costs
/// more servers than it is worth. Parts belong to many requests.
constexpr std::size_t kMaxCrashesOfRequest = 6;
/// Bounds of the memory used.
constexpr std::size_t kMaxCrashes = 512;
/// Of these, as many may be kept in favour of later ones.
constexpr std::size_t kMaxExplainedCrashes = 384;
constexpr std::size_t kMaxSuspectsPerCrash = 256;  ///< of each kind
constexpr std::size_t kMaxSuspects = 16384;        ///< of all crashes
/// Bounds the evidence that is sent at once.
constexpr std::size_t kMaxExportedSuspects = 4096;

Time TrialDelay(const Quarantine& quarantine) {
  Time delay = kFirstTrialDelay;
  for (std::size_t i = kMinCrashes; i < quarantine.crashes; ++i) {
    delay = std::min(2 * delay, kMaxTrialDelay);
  }
  return delay;
}

bool HasTrialsLeft(const Quarantine& quarantine) {
  return quarantine.suspects.front().kind != SuspectId::Kind::kRequest ||
         quarantine.servers_ended < kMaxCrashesOfRequest;
}

bool Contains(const Suspects& suspects, const SuspectId& suspect) {
  return std::ranges::find(suspects, suspect) != suspects.end();
}

}  // namespace

bool Quarantine::Holds(const Suspects& request) const {
  const auto has = [&request](const SuspectId& suspect) {
    return Contains(request, suspect);
  };
  return suspects.front().kind == SuspectId::Kind::kRequest
             ? std::ranges::any_of(suspects, has)
             : std::ranges::all_of(suspects, has);
}

Time CrashQuarantine::ClearedUntil(const SuspectId& suspect,
                                   const Crash& crash) const {
  const Time completed = m_completions.Get(suspect);
  // Progress shows nothing of what crashes servers later in an answer.
  return crash.in_progress.contains(suspect)
             ? completed
             : std::max(completed, m_progress.Get(suspect));
}

bool CrashQuarantine::IsQuarantined(const SuspectId& suspect) const {
  return std::ranges::any_of(m_quarantines, [&](const auto& quarantine) {
    return Contains(quarantine.suspects, suspect);
  });
}

void CrashQuarantine::RecordCompletion(const Suspects& suspects, Time sent,
                                       Time completed) {
  bool quarantined = false;
  for (const auto& suspect : suspects) {
    const bool is_request = suspect.kind == SuspectId::Kind::kRequest;
    m_completions.Set(suspect, is_request ? completed : sent);
    quarantined = quarantined || IsQuarantined(suspect);
  }
  if (quarantined) Recompute();
}

void CrashQuarantine::RecordProgress(const Suspects& suspects, Time sent) {
  bool quarantined = false;
  for (const auto& suspect : suspects) {
    if (suspect.kind != SuspectId::Kind::kPromptPart) continue;
    m_progress.Set(suspect, sent);
    quarantined = quarantined || IsQuarantined(suspect);
  }
  if (quarantined) Recompute();
}

void CrashQuarantine::AddSuspect(Crash& crash, const SuspectId& suspect,
                                 AnswerStage stage) {
  if (crash.suspects.contains(suspect)) {
    if (stage == AnswerStage::kBegun) crash.in_progress.erase(suspect);
    return;
  }
  const auto alike =
      std::ranges::count(crash.suspects, suspect.kind, &SuspectId::kind);
  if (static_cast<std::size_t>(alike) >= kMaxSuspectsPerCrash) return;
  crash.suspects.insert(suspect);
  if (stage == AnswerStage::kInProgress) crash.in_progress.insert(suspect);
  m_completions.Pin(suspect);
  m_progress.Pin(suspect);
}

void CrashQuarantine::DropOldestCrashes(bool confirmed) {
  const auto is_alike = [confirmed](const auto& item) {
    return item.second.confirmed == confirmed;
  };
  const auto explains = [this](const auto& item) {
    return std::ranges::any_of(
        item.second.suspects,
        [this](const auto& suspect) { return IsQuarantined(suspect); });
  };
  // Without room for others, the crashes of a further request would displace
  // each other.
  const auto explaining = std::ranges::count_if(m_crashes, explains);
  const bool has_room =
      static_cast<std::size_t>(explaining) <= kMaxExplainedCrashes;
  const auto rank = [&](const auto& item) {
    const bool is_kept = has_room && explains(item);
    return std::tuple(!is_alike(item), is_kept, item.second.at);
  };
  const auto is_full = [&] {
    std::size_t crashes = 0;
    std::size_t suspects = 0;
    for (const auto& item : m_crashes) {
      if (!is_alike(item)) continue;
      ++crashes;
      suspects += item.second.suspects.size();
    }
    return crashes >= kMaxCrashes || suspects >= kMaxSuspects;
  };
  while (is_full()) EraseCrash(std::ranges::min_element(m_crashes, {}, rank));
}

void CrashQuarantine::MarkConfirmed(Crash& crash) {
  if (crash.confirmed) return;
  DropOldestCrashes(true);
  crash.confirmed = true;
}

void CrashQuarantine::EraseCrash(CrashMap::iterator crash) {
  const std::set<SuspectId> dropped = std::move(crash->second.suspects);
  m_crashes.erase(crash);
  for (const auto& suspect : dropped) {
    const bool is_kept = std::ranges::any_of(m_crashes, [&](const auto& item) {
      return item.second.suspects.contains(suspect);
    });
    if (is_kept) continue;
    m_completions.Unpin(suspect);
    m_progress.Unpin(suspect);
  }
}

CrashQuarantine::BreakOff CrashQuarantine::RecordBreakOff(
    const ServerBoot& boot, const Suspects& suspects, Time now,
    AnswerStage stage) {
  const bool is_new = !m_crashes.contains(boot);
  if (is_new) DropOldestCrashes(false);
  Crash& crash = m_crashes[boot];
  if (is_new) crash.at = now;
  for (const auto& suspect : suspects) AddSuspect(crash, suspect, stage);
  if (is_new) return BreakOff::kNew;
  if (!crash.confirmed) return BreakOff::kPending;
  Recompute();
  return BreakOff::kConfirmed;
}

void CrashQuarantine::ConfirmCrash(const ServerBoot& boot) {
  const auto found = m_crashes.find(boot);
  if (found == m_crashes.end()) return;
  MarkConfirmed(found->second);
  Recompute();
}

void CrashQuarantine::DiscardCrash(const ServerBoot& boot) {
  const auto found = m_crashes.find(boot);
  if (found == m_crashes.end() || found->second.confirmed) return;
  EraseCrash(found);
}

CrashQuarantine::CrashList CrashQuarantine::ConfirmedCrashes() const {
  CrashList crashes;
  for (const auto& item : m_crashes) {
    if (item.second.confirmed) crashes.push_back(&item);
  }
  return crashes;
}

void CrashQuarantine::Recompute() {
  CrashList unexplained = ConfirmedCrashes();
  SuspectGroups evidence;
  for (const auto* item : unexplained) {
    const Crash& crash = item->second;
    for (const auto& suspect : crash.suspects)
      CountCrash(evidence, suspect, crash.at, ClearedUntil(suspect, crash));
  }
  EraseWeakSuspects(evidence);
  for (auto& [suspect, group] : evidence) std::ranges::sort(group.crashes);
  m_quarantines.clear();
  while (auto worst = FindLikeliestCause(evidence)) {
    std::erase_if(unexplained, [&](const auto* item) {
      const Crash& crash = item->second;
      if (!crash.suspects.contains(worst->suspects.front())) return false;
      for (const auto& suspect : crash.suspects)
        DiscountCrash(evidence, suspect, crash.at);
      return true;
    });
    EraseWeakSuspects(evidence);
    m_quarantines.push_back(std::move(*worst));
  }
  std::erase_if(m_trials, [this](const auto& trial) {
    return std::ranges::none_of(m_quarantines, [&trial](const auto& known) {
      return known.suspects == trial.first;
    });
  });
}

CrashQuarantine::Decision CrashQuarantine::Decide(
    const Suspects& suspects, Time now,
    const std::function<bool(const Quarantine&)>& runs_trials) {
  for (const auto& quarantine : m_quarantines) {
    if (!quarantine.Holds(suspects)) continue;
    const auto trial = m_trials.find(quarantine.suspects);
    const Time last = trial == m_trials.end()
                          ? quarantine.last_crash
                          : std::max(quarantine.last_crash, trial->second);
    Decision decision;
    decision.quarantine = quarantine;
    decision.verdict = Verdict::kRefuse;
    if (!HasTrialsLeft(quarantine)) {
      decision.until_trial = std::chrono::ceil<Milliseconds>(kMaxTrialDelay);
      return decision;
    }
    const Time due = last + TrialDelay(quarantine);
    if (now >= due && runs_trials(quarantine)) {
      m_trials[quarantine.suspects] = now;
      decision.verdict = Verdict::kTrial;
      return decision;
    }
    // An instance that runs no trials learns of their result only some time
    // after they are due.
    decision.until_trial = std::chrono::ceil<Milliseconds>(
        std::max(due - now, kFirstTrialDelay / 2));
    return decision;
  }
  return Decision();
}

bool CrashQuarantine::MayRetry(const Suspects& suspects) const {
  const bool quarantined =
      std::ranges::any_of(m_quarantines, [&suspects](const auto& quarantine) {
        return quarantine.Holds(suspects);
      });
  if (quarantined) return false;
  return std::ranges::none_of(suspects, [this](const SuspectId& suspect) {
    if (m_completions.Get(suspect).count() > 0) return false;
    SuspectGroup against{suspect.kind};
    for (const auto& [boot, crash] : m_crashes) {
      const bool counts = crash.suspects.contains(suspect) &&
                          crash.at > ClearedUntil(suspect, crash);
      if (counts) against.crashes.push_back(crash.at);
    }
    std::ranges::sort(against.crashes);
    return CountCrashes(against) >= kCrashesWithoutRetry;
  });
}

std::optional<Time> CrashQuarantine::CrashTime(const ServerBoot& boot) const {
  const auto found = m_crashes.find(boot);
  if (found == m_crashes.end() || !found->second.confirmed) return std::nullopt;
  return found->second.at;
}

bool CrashQuarantine::IsCheckPending(const Suspects& suspects) const {
  return std::ranges::any_of(m_crashes, [&suspects](const auto& item) {
    const Crash& crash = item.second;
    return !crash.confirmed &&
           std::ranges::any_of(suspects, [&crash](const auto& suspect) {
             return crash.suspects.contains(suspect);
           });
  });
}

CrashEvidence CrashQuarantine::ExportCrashes(const CrashList& crashes) const {
  CrashEvidence evidence;
  for (const auto* item : crashes) {
    const Crash& crash = item->second;
    evidence.crashes.push_back(
        {item->first, crash.at, crash.suspects, crash.in_progress});
    for (const auto& suspect : crash.suspects) {
      const Time completed = m_completions.Get(suspect);
      const Time progressed = m_progress.Get(suspect);
      if (completed.count() > 0) evidence.completions[suspect] = completed;
      if (progressed.count() > 0) evidence.progress[suspect] = progressed;
    }
  }
  return evidence;
}

CrashEvidence CrashQuarantine::ExportLatest(CrashList crashes) const {
  std::ranges::stable_sort(crashes, std::greater(),
                           [](const auto* item) { return item->second.at; });
  std::size_t suspects = 0;
  const auto too_many = std::ranges::find_if(crashes, [&](const auto* item) {
    suspects += item->second.suspects.size();
    return suspects > kMaxExportedSuspects;
  });
  crashes.erase(too_many, crashes.end());
  std::ranges::sort(crashes, {}, [](const auto* item) { return item->first; });
  return ExportCrashes(crashes);
}

CrashEvidence CrashQuarantine::Export() const {
  return ExportLatest(ConfirmedCrashes());
}

CrashEvidence CrashQuarantine::Export(const std::set<ServerBoot>& boots) const {
  CrashList crashes = ConfirmedCrashes();
  std::erase_if(crashes, [&boots](const auto* item) {
    return !boots.contains(item->first);
  });
  return ExportLatest(std::move(crashes));
}

CrashEvidence CrashQuarantine::ExportQuarantined() const {
  CrashEvidence evidence = ExportCrashes(ConfirmedCrashes());
  const auto is_other = [this](const SuspectId& suspect) {
    return !IsQuarantined(suspect);
  };
  const auto is_of_other = [&is_other](const auto& item) {
    return is_other(item.first);
  };
  for (auto& crash : evidence.crashes) {
    std::erase_if(crash.suspects, is_other);
    std::erase_if(crash.in_progress, is_other);
  }
  std::erase_if(evidence.crashes,
                [](const auto& crash) { return crash.suspects.empty(); });
  std::erase_if(evidence.completions, is_of_other);
  std::erase_if(evidence.progress, is_of_other);
  return evidence;
}

void CrashQuarantine::Merge(const CrashEvidence& evidence) {
  for (const auto& received : evidence.crashes) {
    const bool is_new = !m_crashes.contains(received.boot);
    Crash& crash = m_crashes[received.boot];
    crash.at = is_new ? received.at : std::min(crash.at, received.at);
    MarkConfirmed(crash);
    for (const auto& suspect : received.suspects) {
      const bool in_progress = received.in_progress.contains(suspect);
      AddSuspect(crash, suspect,
                 in_progress ? AnswerStage::kInProgress : AnswerStage::kBegun);
    }
  }
  const auto merge = [](HarmlessAnswers& known, const auto& received) {
    for (const auto& [suspect, sent] : received) {
      // Its own time comes back later by the time of the exchange.
      const bool is_later = sent >= known.Get(suspect) + kMaxTransferTime;
      if (is_later) known.Set(suspect, sent);
    }
  };
  merge(m_completions, evidence.completions);
  merge(m_progress, evidence.progress);
  if (!evidence.Empty()) Recompute();
}

}  // namespace cowslipknot
