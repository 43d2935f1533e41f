#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cowslipknot/coordination/harmless_answers.h"
#include "cowslipknot/coordination/suspect_id.h"
#include "cowslipknot/ids.h"

/// Finds what crashes the backend servers that run it, parts of prompts and
/// whole requests, and keeps requests with it from the servers.
namespace cowslipknot {

/// What an instance tells the others. Times are in TimeSinceBoot() of the
/// instance that holds the object.
struct CrashEvidence {
  using Time = std::chrono::nanoseconds;
  /// A crash, with the suspects of the requests that were being answered.
  struct Crash {
    ServerBoot boot;
    Time at{0};
    std::set<SuspectId> suspects;
    /// Those of which no answer had just begun.
    std::set<SuspectId> in_progress;
  };
  std::vector<Crash> crashes;
  /// When the latest request with a suspect was sent whose answer was
  /// completed.
  std::map<SuspectId, Time> completions;
  /// The same for answers that AnswerProgress found harmless.
  std::map<SuspectId, Time> progress;

  bool Empty() const {
    return crashes.empty() && completions.empty() && progress.empty();
  }
};

/// Suspects that several crashes have in common and that no completed answer
/// had since.
///
/// They are parts of prompts, and hold requests that have all of them; or they
/// are requests, which are all held. There is more than one only if no request
/// told them apart.
struct Quarantine {
  Suspects suspects;
  std::size_t crashes = 0;        ///< that count: of a burst, only some
  std::size_t servers_ended = 0;  ///< by all crashes
  std::chrono::nanoseconds last_crash{0};

  /// Whether a request with these suspects is held.
  bool Holds(const Suspects& request) const;
};

/// Decides which requests may be sent, from crashes and harmless answers.
///
/// A crash ends all requests of a server, most of which did not cause it. A
/// suspect is judged by the crashes since its last completed answer, the one
/// with the most crashes is quarantined, and its crashes no longer count
/// against the others. Crashes that follow each other closely count once,
/// since they may have another cause, such as the loss of a failure domain.
///
/// Pure: the time is an argument. Not thread-safe.
class CrashQuarantine {
 public:
  using Time = std::chrono::nanoseconds;

  enum class Verdict : std::uint8_t {
    kSend,
    kTrial,  ///< send this one request to learn whether it still crashes
    kRefuse,
  };
  struct Decision {
    Verdict verdict = Verdict::kSend;
    Milliseconds until_trial{0};  ///< kRefuse: when the next trial is due
    Quarantine quarantine;        ///< kTrial and kRefuse: the reason
  };

  /// Records an answer that was completed. It clears a request of all crashes
  /// until then, and parts of prompts of those before it was sent.
  void RecordCompletion(const Suspects& suspects, Time sent, Time completed);
  /// Records an answer that AnswerProgress found harmless. It clears parts of
  /// prompts of crashes before it was sent under answers that had just begun.
  /// Requests are not cleared, which may still crash their server.
  void RecordProgress(const Suspects& suspects, Time sent);
  /// What is known of the server whose answer broke off.
  enum class BreakOff : std::uint8_t {
    kNew,        ///< the first one; the caller checks whether it has crashed
    kPending,    ///< being checked
    kConfirmed,  ///< it has crashed
  };
  /// Records an answer that broke off. ConfirmCrash() or DiscardCrash() follows
  /// the first one of a server.
  BreakOff RecordBreakOff(const ServerBoot& boot, const Suspects& suspects,
                          Time now, AnswerStage stage = AnswerStage::kBegun);
  void ConfirmCrash(const ServerBoot& boot);
  void DiscardCrash(const ServerBoot& boot);

  /// @param runs_trials  whether this instance runs the trials of a quarantine;
  ///                     at most one instance should
  Decision Decide(const Suspects& suspects, Time now,
                  const std::function<bool(const Quarantine&)>& runs_trials);
  /// Whether a request whose answer broke off may be sent to another server:
  /// not if it is quarantined, or has a suspect that was never answered
  /// completely and that two crashes have in common.
  bool MayRetry(const Suspects& suspects) const;

  /// When a process crashed; nothing if it is not known to have.
  std::optional<Time> CrashTime(const ServerBoot& boot) const;

  /// Whether it is not known yet if a server crashed whose answer to a request
  /// with one of the suspects broke off.
  bool IsCheckPending(const Suspects& suspects) const;

  /// Evidence of all confirmed crashes, the latest ones if there are many.
  CrashEvidence Export() const;
  /// The same for some servers.
  CrashEvidence Export(const std::set<ServerBoot>& boots) const;
  /// Evidence of the quarantined suspects only.
  CrashEvidence ExportQuarantined() const;
  /// Adds the evidence of another instance. Idempotent, and commutative but for
  /// completions less than a second apart, which count as one.
  void Merge(const CrashEvidence& evidence);

  const std::vector<Quarantine>& Active() const { return m_quarantines; }
  bool HasCrashes() const { return !m_crashes.empty(); }

 private:
  struct Crash {
    Time at{0};
    std::set<SuspectId> suspects;
    std::set<SuspectId> in_progress;  ///< as in CrashEvidence
    bool confirmed = false;
  };
  using CrashMap = std::map<ServerBoot, Crash>;
  using CrashList = std::vector<const CrashMap::value_type*>;

  /// Until when a suspect is cleared of crashes such as this one.
  Time ClearedUntil(const SuspectId& suspect, const Crash& crash) const;
  bool IsQuarantined(const SuspectId& suspect) const;
  void AddSuspect(Crash& crash, const SuspectId& suspect, AnswerStage stage);
  /// Makes room for another crash, confirmed or not. Break-offs that turn out
  /// to be no crashes displace none.
  void DropOldestCrashes(bool confirmed);
  void MarkConfirmed(Crash& crash);
  void EraseCrash(CrashMap::iterator crash);
  void Recompute();
  CrashList ConfirmedCrashes() const;
  CrashEvidence ExportCrashes(const CrashList& crashes) const;
  /// As many of the latest crashes as others accept at once.
  CrashEvidence ExportLatest(CrashList crashes) const;

  CrashMap m_crashes;
  HarmlessAnswers m_completions;
  HarmlessAnswers m_progress;
  std::vector<Quarantine> m_quarantines;
  std::map<Suspects, Time> m_trials;  ///< when the last one was sent
};

/// Text of the evidence, for other instances and for the store. Times are
/// encoded as ages. Instances of earlier versions ignore whole requests. An
/// unreadable text decodes to empty evidence.
std::string EncodeCrashEvidence(const CrashEvidence& evidence,
                                CrashEvidence::Time now);
CrashEvidence DecodeCrashEvidence(std::string_view text,
                                  CrashEvidence::Time now);

}  // namespace cowslipknot
