#include "coordination/suspect_groups.h"

#include <algorithm>
#include <tuple>

namespace cowslipknot {
namespace {

/// Further crashes that are needed where several requests are suspected alike.
constexpr std::size_t kCrashesToTellApart = 1;
/// Crashes within this time count as one burst, since servers that are lost
/// together end within it. A suspect that was answered completely before is
/// common enough to be at many servers, which may also fail in turn.
constexpr CrashTime kCrashSpacing = std::chrono::milliseconds(50);
constexpr CrashTime kCrashSpacingAfterCompletion =
    std::chrono::milliseconds(250);

std::size_t MinCrashes(const SuspectGroup& group) {
  return group.completed_before ? kMinCrashesAfterCompletion : kMinCrashes;
}

/// Most crashes of one burst that count. Many requests share a part, so that it
/// is at all servers of a lost domain; one request is at several only if it is
/// sent to several, but a burst alone decides nothing.
std::size_t MaxCountOfBurst(const SuspectGroup& group) {
  return group.kind == SuspectId::Kind::kRequest ? MinCrashes(group) - 1 : 1;
}

std::size_t CrashesNeeded(const SuspectGroup& group, std::size_t members) {
  const std::size_t needed = MinCrashes(group);
  const bool is_ambiguous =
      group.kind == SuspectId::Kind::kRequest && members > 1;
  return is_ambiguous ? needed + kCrashesToTellApart : needed;
}

/// Orders groups by how likely they are the cause. Of equal ones, a request is
/// held before the parts that it may share with others.
auto RankOf(const SuspectGroup& group) {
  return std::tuple(CountCrashes(group), !group.completed_before,
                    group.kind == SuspectId::Kind::kRequest);
}

}  // namespace

std::size_t CountCrashes(const SuspectGroup& group) {
  const CrashTime spacing =
      group.completed_before ? kCrashSpacingAfterCompletion : kCrashSpacing;
  std::size_t count = 0;
  std::size_t in_burst = 0;
  CrashTime burst{0};
  for (const CrashTime at : group.crashes) {
    if (in_burst == 0 || at - burst >= spacing) {
      burst = at;
      in_burst = 0;
    }
    if (++in_burst <= MaxCountOfBurst(group)) ++count;
  }
  return count;
}

void CountCrash(SuspectGroups& evidence, const SuspectId& suspect, CrashTime at,
                CrashTime last_completion) {
  if (at <= last_completion) return;
  SuspectGroup& against = evidence[suspect];
  against.kind = suspect.kind;
  against.crashes.push_back(at);
  against.completed_before = last_completion.count() > 0;
}

void EraseWeakSuspects(SuspectGroups& evidence) {
  std::erase_if(evidence, [](const auto& item) {
    return item.second.crashes.size() < kMinCrashes;
  });
}

void DiscountCrash(SuspectGroups& evidence, const SuspectId& suspect,
                   CrashTime at) {
  const auto found = evidence.find(suspect);
  if (found == evidence.end()) return;
  auto& crashes = found->second.crashes;
  const auto position = std::ranges::find(crashes, at);
  if (position != crashes.end()) crashes.erase(position);
}

std::optional<Quarantine> FindLikeliestCause(const SuspectGroups& evidence) {
  const auto is_less = [](const SuspectGroup* a, const SuspectGroup* b) {
    return *a < *b;
  };
  std::map<const SuspectGroup*, Suspects, decltype(is_less)> groups(is_less);
  for (const auto& [suspect, group] : evidence)
    groups[&group].push_back(suspect);
  std::erase_if(groups, [](const auto& item) {
    const auto& [group, members] = item;
    return CountCrashes(*group) < CrashesNeeded(*group, members.size());
  });
  if (groups.empty()) return std::nullopt;
  const auto& [group, members] = *std::ranges::max_element(
      groups, {}, [](const auto& item) { return RankOf(*item.first); });
  return Quarantine{members, CountCrashes(*group), group->crashes.size(),
                    group->crashes.back()};
}

}  // namespace cowslipknot
