#include "cowslipknot/coordination/membership.h"

#include <algorithm>
#include <boost/json.hpp>

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr std::uint64_t kStatusCount = 4;
constexpr std::string_view kMemberPrefix = "member/";

std::uint64_t EncodeVersion(Incarnation incarnation, MemberStatus status) {
  return incarnation.Count() * kStatusCount +
         static_cast<std::uint64_t>(status);
}

Endpoint DecodeEndpoint(const json::value& host, const json::value& port) {
  return {std::string(host.as_string()), port.to_number<std::uint16_t>()};
}

bool IsLive(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

std::size_t PickIndex(UnitDraw draw, std::size_t count) {
  const auto index =
      static_cast<std::size_t>(draw * static_cast<double>(count));
  return std::min(index, count - 1);
}

}  // namespace

std::string MemberKey(const NodeId& node) {
  return std::string(kMemberPrefix) + node.Text();
}

GossipRecord EncodeMember(const Member& member) {
  const MemberInfo& info = member.info;
  const json::array fields = {
      info.peer_address.host,     info.peer_address.port,
      info.operator_address.host, info.operator_address.port,
      info.domain.Text(),         info.draining};
  return {MemberKey(info.node),
          EncodeVersion(member.incarnation, member.status),
          json::serialize(fields)};
}

std::optional<Member> DecodeMember(const GossipRecord& record) {
  if (!record.key.starts_with(kMemberPrefix)) return std::nullopt;
  Member member;
  member.info.node = NodeId(record.key.substr(kMemberPrefix.size()));
  member.incarnation = Incarnation(record.version / kStatusCount);
  member.status = static_cast<MemberStatus>(record.version % kStatusCount);
  try {
    const json::value parsed = json::parse(record.payload);
    const json::array& fields = parsed.as_array();
    member.info.peer_address = DecodeEndpoint(fields.at(0), fields.at(1));
    member.info.operator_address = DecodeEndpoint(fields.at(2), fields.at(3));
    member.info.domain = DomainId(std::string(fields.at(4).as_string()));
    member.info.draining = fields.at(5).as_bool();
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return member;
}

Membership::Membership(MembershipOptions options, MemberInfo self,
                       Incarnation incarnation, RecordSet& records)
    : m_options(std::move(options)),
      m_self{std::move(self), incarnation, MemberStatus::kAlive},
      m_records(records) {
  PublishSelf();
}

void Membership::PublishSelf() {
  m_records.Merge(EncodeMember(m_self));
  m_members[m_self.info.node] = m_self;
}

void Membership::UpdateSelf(bool draining) {
  if (m_self.info.draining == draining) return;
  m_self.info.draining = draining;
  m_self.incarnation = Incarnation(m_self.incarnation.Count() + 1);
  PublishSelf();
}

void Membership::Leave() {
  m_self.status = MemberStatus::kLeft;
  PublishSelf();
}

bool Membership::Merge(const GossipRecord& record, WallTime now) {
  const auto member = DecodeMember(record);
  if (!member) return false;
  const NodeId& node = member->info.node;
  if (node == m_self.info.node) {
    const std::uint64_t own = EncodeVersion(m_self.incarnation, m_self.status);
    if (record.version <= own || m_self.status == MemberStatus::kLeft) {
      return false;
    }
    m_self.incarnation = Incarnation(member->incarnation.Count() + 1);
    PublishSelf();
    return true;
  }
  const bool known = m_members.contains(node);
  if (!known && !IsLive(member->status)) return false;
  if (!m_records.Merge(record)) return false;
  const bool changed = !known || m_members.at(node).status != member->status;
  m_members[node] = *member;
  if (changed) m_status_since[node] = now;
  return true;
}

bool Membership::IsLiveAddress(const Endpoint& address) const {
  return std::any_of(m_members.begin(), m_members.end(),
                     [&address](const auto& entry) {
                       return IsLive(entry.second.status) &&
                              entry.second.info.peer_address == address;
                     });
}

std::vector<ProbeTarget> Membership::RejoinTargets() const {
  std::vector<ProbeTarget> targets;
  for (const auto& [node, member] : m_members) {
    if (member.status == MemberStatus::kFailed) {
      targets.push_back({node, member.info.peer_address});
    }
  }
  for (const auto& seed : m_options.seeds) {
    if (!IsLiveAddress(seed)) targets.push_back({NodeId(), seed});
  }
  return targets;
}

std::optional<ProbeTarget> Membership::NextProbe(UnitDraw draw) {
  ++m_probes;
  const bool alone = LiveCount() <= 1;
  if (alone || m_probes % m_options.failed_probe_period == 0) {
    const auto targets = RejoinTargets();
    if (!targets.empty()) return targets[PickIndex(draw, targets.size())];
  }
  while (!m_probe_round.empty()) {
    const std::size_t index = PickIndex(draw, m_probe_round.size());
    const NodeId node = m_probe_round[index];
    m_probe_round.erase(m_probe_round.begin() +
                        static_cast<std::ptrdiff_t>(index));
    const auto member = m_members.find(node);
    if (member == m_members.end() || !IsLive(member->second.status)) {
      continue;
    }
    return ProbeTarget{node, member->second.info.peer_address};
  }
  for (const auto& [node, member] : m_members) {
    const bool other = node != m_self.info.node;
    if (other && IsLive(member.status)) m_probe_round.push_back(node);
  }
  if (m_probe_round.empty()) return std::nullopt;
  return NextProbe(draw);
}

std::vector<ProbeTarget> Membership::IndirectProbers(const NodeId& target,
                                                     std::size_t count,
                                                     UnitDraw draw) {
  std::vector<ProbeTarget> probers;
  for (const auto& member : Live()) {
    if (member.info.node == target || member.info.node == m_self.info.node) {
      continue;
    }
    probers.push_back({member.info.node, member.info.peer_address});
  }
  if (probers.size() <= count) return probers;
  const auto offset = PickIndex(draw, probers.size());
  std::rotate(probers.begin(),
              probers.begin() + static_cast<std::ptrdiff_t>(offset),
              probers.end());
  probers.resize(count);
  return probers;
}

void Membership::SetStatus(const Member& member, MemberStatus status) {
  Member changed = member;
  changed.status = status;
  m_records.Merge(EncodeMember(changed));
  m_members[member.info.node] = changed;
}

void Membership::OnProbeFailed(const NodeId& node, WallTime now) {
  const auto member = m_members.find(node);
  if (member == m_members.end()) return;
  if (member->second.status != MemberStatus::kAlive) return;
  m_status_since[node] = now;
  SetStatus(Member(member->second), MemberStatus::kSuspect);
}

std::vector<NodeId> Membership::ExpireMembers(WallTime now) {
  std::vector<NodeId> failed;
  std::vector<NodeId> expired;
  for (const auto& [node, member] : m_members) {
    if (member.status == MemberStatus::kAlive) continue;
    if (node == m_self.info.node) continue;
    const std::int64_t age = now.Count() - m_status_since[node].Count();
    if (member.status == MemberStatus::kSuspect) {
      if (age >= m_options.suspicion_timeout.count()) failed.push_back(node);
    } else if (age >= m_options.removal_delay.count()) {
      expired.push_back(node);
    }
  }
  for (const auto& node : failed) {
    SetStatus(Member(m_members.at(node)), MemberStatus::kFailed);
    m_status_since[node] = now;
  }
  for (const auto& node : expired) {
    m_records.Erase(MemberKey(node));
    m_members.erase(node);
    m_status_since.erase(node);
  }
  return failed;
}

std::vector<Member> Membership::Live() const {
  std::vector<Member> live;
  for (const auto& [node, member] : m_members) {
    if (IsLive(member.status)) live.push_back(member);
  }
  return live;
}

std::size_t Membership::LiveCount() const {
  return static_cast<std::size_t>(std::count_if(
      m_members.begin(), m_members.end(),
      [](const auto& entry) { return IsLive(entry.second.status); }));
}

bool Membership::AnyDrainingOrUnresponsive() const {
  return std::any_of(m_members.begin(), m_members.end(), [](const auto& entry) {
    return entry.second.status != MemberStatus::kAlive ||
           entry.second.info.draining;
  });
}

std::optional<Member> Membership::Find(const NodeId& node) const {
  const auto found = m_members.find(node);
  if (found == m_members.end()) return std::nullopt;
  return found->second;
}

}  // namespace cowslipknot
