#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslipknot/ids.h"
#include "cowslipknot/state/record_set.h"

/// Gossip-based membership of entry instances, without a coordinator: random
/// probes, suspicion before a member is declared failed, and records that merge
/// monotonically (as in SWIM).
namespace cowslipknot {

enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };

/// What an instance publishes about itself.
struct MemberInfo {
  NodeId node;
  Endpoint peer_address;      ///< for calls from other instances
  Endpoint operator_address;  ///< operator API
  DomainId domain;
  bool draining = false;
};

struct Member {
  MemberInfo info;
  Incarnation incarnation;
  MemberStatus status = MemberStatus::kAlive;
};

struct MembershipOptions {
  Milliseconds suspicion_timeout{2500};   ///< from suspect to failed
  Milliseconds removal_delay{600000};     ///< from failed or left to removed
  std::uint32_t failed_probe_period = 5;  ///< probes per rejoin attempt
  std::vector<Endpoint> seeds;            ///< addresses probed in order to join
};

struct ProbeTarget {
  NodeId node;  ///< empty for a seed that has not answered yet
  Endpoint address;
};

std::string MemberKey(const NodeId& node);
GossipRecord EncodeMember(const Member& member);
/// @return nothing when the record is malformed
std::optional<Member> DecodeMember(const GossipRecord& record);

/// Selects the members to probe and tracks their status.
///
/// Performs no I/O; time and randomness are arguments. Single-threaded.
class Membership {
 public:
  /// @param records  stores the members' records; must outlive this object
  Membership(MembershipOptions options, MemberInfo self,
             Incarnation incarnation, RecordSet& records);

  /// Publishes whether this instance is draining.
  void UpdateSelf(bool draining);
  /// Publishes that this instance leaves permanently.
  void Leave();

  /// Merges a record received from a peer. Overrides a newer record about
  /// this instance, such as a suspicion, by raising its own incarnation.
  /// @return true if the record changed the local state
  bool Merge(const GossipRecord& record, WallTime now);

  /// Selects the next member or seed to probe. Members are probed in random
  /// order, each once per round. Every few probes, and always while no other
  /// member is live, a failed member or a seed that is no live member is probed
  /// instead, so that partitions heal.
  std::optional<ProbeTarget> NextProbe(UnitDraw draw);
  /// Members that can probe `target` on behalf of this instance.
  std::vector<ProbeTarget> IndirectProbers(const NodeId& target,
                                           std::size_t count, UnitDraw draw);
  /// Handles a failed probe, direct and indirect: marks the member as suspect.
  void OnProbeFailed(const NodeId& node, WallTime now);
  /// Declares members failed whose suspicion timeout has passed, and removes
  /// members that failed or left long ago.
  /// @return the members that were declared failed
  std::vector<NodeId> ExpireMembers(WallTime now);

  const MemberInfo& Self() const { return m_self.info; }
  /// Alive and suspect members, including this one.
  std::vector<Member> Live() const;
  std::size_t LiveCount() const;
  /// Whether any member is draining, suspect, failed or has left. Members that
  /// failed or left count until they are removed.
  bool AnyDrainingOrUnresponsive() const;
  std::optional<Member> Find(const NodeId& node) const;

 private:
  void PublishSelf();
  /// Failed members, and seeds whose address belongs to no live member.
  std::vector<ProbeTarget> RejoinTargets() const;
  bool IsLiveAddress(const Endpoint& address) const;
  void SetStatus(const Member& member, MemberStatus status);

  MembershipOptions m_options;
  Member m_self;
  RecordSet& m_records;
  std::map<NodeId, Member> m_members;         ///< decoded from m_records
  std::map<NodeId, WallTime> m_status_since;  ///< last change of status
  std::vector<NodeId> m_probe_round;
  std::uint32_t m_probes = 0;
};

}  // namespace cowslipknot
