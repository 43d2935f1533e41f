#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/record_set.h"

/// Membership of entry instances without a coordinator: random probes,
/// suspicion before removal, and records that merge monotonically.
namespace cowslipknot {

enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// What an instance says of itself.
struct MemberInfo {
  NodeId node;
  Endpoint peers;
  Endpoint operators;
  DomainId domain;
  bool draining = false;
};

struct Member {
  MemberInfo info;
  Incarnation incarnation;
  MemberStatus status = MemberStatus::kAlive;
};

struct MembershipOptions {
  Milliseconds suspicion{2500};          ///< from suspect to dead
  Milliseconds forget{600000};           ///< from dead to forgotten
  std::uint32_t revisit_dead_every = 5;  ///< one probe in this many
  std::vector<Endpoint> seeds;
};

struct ProbeTarget {
  NodeId node;  ///< empty for a seed that has not answered yet
  Endpoint peers;
};

std::string MemberKey(const NodeId& node);
SpreadRecord EncodeMember(const Member& member);
/// @return nothing when the record is malformed
std::optional<Member> DecodeMember(const SpreadRecord& record);

/// Decides whom to probe and what silence means. Pure: time and randomness
/// are arguments. Single-threaded.
class Membership {
 public:
  /// @param records  holds the members' records; outlives this object
  Membership(MembershipOptions options, MemberInfo self,
             Incarnation incarnation, RecordSet& records);

  /// Publishes a change of what this instance says of itself.
  void UpdateSelf(bool draining);
  /// Announces that this instance stops for good.
  void Leave();

  /// Merges a peer's record. Refutes news that this instance is not alive.
  /// @return true if the record was news
  bool Merge(const SpreadRecord& record, WallTime now);

  std::optional<ProbeTarget> NextProbe(UnitDraw draw);
  /// Members that can probe `target` in this instance's place.
  std::vector<ProbeTarget> IndirectHelpers(const NodeId& target,
                                           std::size_t count, UnitDraw draw);
  /// No answer came, directly or through helpers.
  void NoteSilence(const NodeId& node, WallTime now);
  /// Turns suspects whose time has passed into dead, and forgets the dead.
  /// @return the newly dead
  std::vector<NodeId> Tick(WallTime now);

  const MemberInfo& Self() const { return m_self.info; }
  /// Alive and suspect members, this one included.
  std::vector<Member> Live() const;
  std::size_t LiveCount() const;
  /// Whether a member is stopping, or is or lately was without an answer.
  bool AnyUnsettled() const;
  std::optional<Member> Find(const NodeId& node) const;

 private:
  void PublishSelf();
  /// Dead members and seeds that no live member answers for.
  std::vector<ProbeTarget> LostTargets() const;
  bool IsLiveAddress(const Endpoint& address) const;
  void SetStatus(const Member& member, MemberStatus status);

  MembershipOptions m_options;
  Member m_self;
  RecordSet& m_records;
  std::map<NodeId, Member> m_members;  ///< decoded from m_records
  std::map<NodeId, WallTime> m_since;  ///< of the suspicion or death
  std::vector<NodeId> m_round;
  std::uint32_t m_probes = 0;
};

}  // namespace cowslipknot
