#include "cowslipknot/coordination/crash_quarantine.h"

#include <xxhash.h>

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
constexpr std::size_t kMaxPartCompletions = 4096;
constexpr std::size_t kMaxRequestCompletions = 8192;
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

SuspectId IdentifyRequest(std::initializer_list<std::string_view> fields) {
  std::uint64_t hash = 0;
  for (const auto field : fields) {
    // The length keeps fields apart that are alike when joined.
    const std::uint64_t seed = hash + field.size();
    hash = XXH3_64bits_withSeed(field.data(), field.size(), seed);
  }
  return {SuspectId::Kind::kRequest, hash};
}

bool Quarantine::Holds(const Suspects& request) const {
  const auto has = [&request](const SuspectId& suspect) {
    return Contains(request, suspect);
  };
  return suspects.front().kind == SuspectId::Kind::kRequest
             ? std::ranges::any_of(suspects, has)
             : std::ranges::all_of(suspects, has);
}

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

CrashQuarantine::CrashQuarantine()
    : m_part_completions(kMaxPartCompletions),
      m_request_completions(kMaxRequestCompletions) {}

RecentTimes& CrashQuarantine::CompletionsOf(SuspectId::Kind kind) {
  return kind == SuspectId::Kind::kRequest ? m_request_completions
                                           : m_part_completions;
}

const RecentTimes& CrashQuarantine::CompletionsOf(SuspectId::Kind kind) const {
  return kind == SuspectId::Kind::kRequest ? m_request_completions
                                           : m_part_completions;
}

Time CrashQuarantine::LastCompletion(const SuspectId& suspect) const {
  const auto found = m_suspect_completions.find(suspect);
  return found != m_suspect_completions.end()
             ? found->second
             : CompletionsOf(suspect.kind).Get(suspect.value);
}

void CrashQuarantine::SetCompletion(const SuspectId& suspect, Time sent) {
  const auto found = m_suspect_completions.find(suspect);
  if (found != m_suspect_completions.end()) {
    found->second = std::max(found->second, sent);
  } else {
    CompletionsOf(suspect.kind).Set(suspect.value, sent);
  }
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
    SetCompletion(suspect, is_request ? completed : sent);
    quarantined = quarantined || IsQuarantined(suspect);
  }
  if (quarantined) Recompute();
}

void CrashQuarantine::AddSuspect(Crash& crash, const SuspectId& suspect) {
  const auto alike =
      std::ranges::count(crash.suspects, suspect.kind, &SuspectId::kind);
  if (static_cast<std::size_t>(alike) >= kMaxSuspectsPerCrash) return;
  crash.suspects.insert(suspect);
  m_suspect_completions.try_emplace(suspect, LastCompletion(suspect));
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
    const Time last = LastCompletion(suspect);
    m_suspect_completions.erase(suspect);
    if (last.count() > 0) SetCompletion(suspect, last);
  }
}

CrashQuarantine::BreakOff CrashQuarantine::RecordBreakOff(
    const ServerBoot& boot, const Suspects& suspects, Time now) {
  const bool is_new = !m_crashes.contains(boot);
  if (is_new) DropOldestCrashes(false);
  Crash& crash = m_crashes[boot];
  if (is_new) crash.at = now;
  for (const auto& suspect : suspects) AddSuspect(crash, suspect);
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
    for (const auto& suspect : item->second.suspects)
      CountCrash(evidence, suspect, item->second.at, LastCompletion(suspect));
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
    if (LastCompletion(suspect).count() > 0) return false;
    SuspectGroup against{suspect.kind};
    for (const auto& [boot, crash] : m_crashes) {
      if (crash.suspects.contains(suspect)) against.crashes.push_back(crash.at);
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
    evidence.crashes.push_back(
        {item->first, item->second.at, item->second.suspects});
    for (const auto& suspect : item->second.suspects) {
      const Time last = LastCompletion(suspect);
      if (last.count() > 0) evidence.completions[suspect] = last;
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
  for (auto& crash : evidence.crashes) {
    std::erase_if(crash.suspects, [this](const auto& suspect) {
      return !IsQuarantined(suspect);
    });
  }
  std::erase_if(evidence.crashes,
                [](const auto& crash) { return crash.suspects.empty(); });
  std::erase_if(evidence.completions, [this](const auto& completion) {
    return !IsQuarantined(completion.first);
  });
  return evidence;
}

void CrashQuarantine::Merge(const CrashEvidence& evidence) {
  for (const auto& received : evidence.crashes) {
    const bool is_new = !m_crashes.contains(received.boot);
    Crash& crash = m_crashes[received.boot];
    crash.at = is_new ? received.at : std::min(crash.at, received.at);
    MarkConfirmed(crash);
    for (const auto& suspect : received.suspects) AddSuspect(crash, suspect);
  }
  for (const auto& [suspect, sent] : evidence.completions) {
    // Its own completion comes back later by the time of the exchange.
    const bool is_later = sent >= LastCompletion(suspect) + kMaxTransferTime;
    if (is_later) SetCompletion(suspect, sent);
  }
  if (!evidence.Empty()) Recompute();
}

}  // namespace cowslipknot
