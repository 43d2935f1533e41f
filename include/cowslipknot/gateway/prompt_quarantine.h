#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cowslipknot/gateway/placement.h"
#include "cowslipknot/ids.h"

/// Finds the parts of prompts that crash the backend servers answering them,
/// and keeps requests with such parts from the servers.
namespace cowslipknot::gateway {

/// Ids of the parts of a prompt that other requests may share.
using SharedParts = std::vector<std::uint64_t>;

/// Returns all parts but the last one, which belongs to the request alone.
SharedParts SharedPartsOf(const std::vector<PromptPart>& prompt);

/// One process of a backend server.
struct ServerBoot {
  ServerId server;
  std::int64_t started_ms = 0;
  auto operator<=>(const ServerBoot&) const = default;
};

/// What an instance tells the others. Times are in TimeSinceBoot() of the
/// instance that holds the object.
struct PromptEvidence {
  using Time = std::chrono::nanoseconds;
  /// A crash, with the shared parts of the prompts that were being answered.
  struct Crash {
    ServerBoot boot;
    Time at{0};
    std::set<std::uint64_t> parts;
  };
  std::vector<Crash> crashes;
  /// When the latest prompt with a part was sent whose answer was completed.
  std::map<std::uint64_t, Time> completions;

  bool Empty() const { return crashes.empty() && completions.empty(); }
};

/// Parts that every one of several crashes has in common and that no completed
/// answer had since. A request with all of them is not sent.
///
/// There is more than one part only if no request told them apart.
struct Quarantine {
  SharedParts parts;
  std::size_t crashes = 0;
  std::chrono::nanoseconds last_crash{0};
};

/// Decides which prompts may be sent, from crashes and completed answers.
///
/// A crash ends all requests of a server, most of which did not cause it. A
/// part is suspected by the crashes since its last completed answer, the part
/// with the most crashes is quarantined, and its crashes no longer count
/// against the other parts. Crashes that follow each other closely count once,
/// since they may have another cause, such as the loss of a failure domain.
///
/// Pure: the time is an argument. Not thread-safe.
class PromptQuarantine {
 public:
  using Time = std::chrono::nanoseconds;

  enum class Verdict : std::uint8_t {
    kSend,
    kTrial,  ///< send this one request to learn whether the part still crashes
    kRefuse,
  };
  struct Decision {
    Verdict verdict = Verdict::kSend;
    Milliseconds until_trial{0};  ///< kRefuse: when the next trial is due
    Quarantine quarantine;        ///< kTrial and kRefuse: the reason
  };

  /// Records an answer that was completed.
  void RecordCompletion(const SharedParts& parts, Time sent);
  /// What is known of the server whose answer broke off.
  enum class BreakOff : std::uint8_t {
    kNew,        ///< the first one; the caller checks whether it has crashed
    kPending,    ///< being checked
    kConfirmed,  ///< it has crashed
  };
  /// Records an answer that broke off. ConfirmCrash() or DiscardCrash() follows
  /// the first one of a server.
  BreakOff RecordBreakOff(const ServerBoot& boot, const SharedParts& parts,
                          Time now);
  void ConfirmCrash(const ServerBoot& boot);
  void DiscardCrash(const ServerBoot& boot);

  /// @param runs_trials  whether this instance runs the trials of a quarantine;
  ///                     at most one instance should
  Decision Decide(const SharedParts& parts, Time now,
                  const std::function<bool(const Quarantine&)>& runs_trials);
  /// Whether a request whose answer broke off may be sent to another server:
  /// not if it is quarantined, or has a part that was never answered completely
  /// and that two crashes have in common.
  bool MayRetry(const SharedParts& parts) const;

  /// Evidence of all confirmed crashes and of the parts in them.
  PromptEvidence Export() const;
  /// The same for one crash.
  PromptEvidence Export(const ServerBoot& boot) const;
  /// Adds the evidence of another instance. Idempotent and commutative.
  void Merge(const PromptEvidence& evidence);

  const std::vector<Quarantine>& Active() const { return m_quarantines; }
  bool HasCrashes() const { return !m_crashes.empty(); }

 private:
  struct Crash {
    Time at{0};
    std::set<std::uint64_t> parts;
    bool confirmed = false;
  };
  using CrashMap = std::map<ServerBoot, Crash>;
  using CrashList = std::vector<const CrashMap::value_type*>;

  /// Zero if no answer to a prompt with the part is known to be complete.
  Time LastCompletion(std::uint64_t part) const;
  void SetCompletion(std::uint64_t part, Time sent);
  void AddPart(Crash& crash, std::uint64_t part);
  void DropOldestCrash();
  void Recompute();
  std::optional<Quarantine> FindWorst(const CrashList& unexplained) const;
  PromptEvidence ExportCrashes(const CrashList& crashes) const;

  CrashMap m_crashes;
  /// Recent parts with the time of their last completion. When the first map is
  /// full it replaces the second one, which drops the parts not used since.
  std::unordered_map<std::uint64_t, Time> m_completions;
  std::unordered_map<std::uint64_t, Time> m_older_completions;
  std::vector<Quarantine> m_quarantines;
  std::map<SharedParts, Time> m_trials;  ///< when the last one was sent
};

/// Text of the evidence, for other instances and for the store. Times are
/// encoded as ages. An unreadable text decodes to empty evidence.
std::string EncodePromptEvidence(const PromptEvidence& evidence,
                                 PromptEvidence::Time now);
PromptEvidence DecodePromptEvidence(std::string_view text,
                                    PromptEvidence::Time now);

}  // namespace cowslipknot::gateway
