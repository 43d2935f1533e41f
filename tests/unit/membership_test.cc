#include "cowslipknot/coordination/membership.h"

#include <memory>
#include <random>

#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr std::size_t kMaxUpdateBytes = 1200;
constexpr std::uint32_t kMaxSends = 12;
constexpr std::int64_t kProbeIntervalMs = 500;

/// Simulated instances that exchange records in memory, on an injected clock.
class SimulatedCluster {
 public:
  SimulatedCluster(std::size_t size, std::uint64_t seed) : m_random(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      m_records.push_back(std::make_unique<RecordSet>());
      MemberInfo info;
      info.node = NodeId("n" + std::to_string(i));
      info.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)};
      info.domain = DomainId("d" + std::to_string(i % 4));
      MembershipOptions options;
      options.seeds = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
      m_members.push_back(std::make_unique<Membership>(
          options, info, Incarnation(1), *m_records.back()));
    }
  }

  /// Advances the clock and runs one probe from each instance.
  void Step() {
    m_now = WallTime(m_now.Count() + kProbeIntervalMs);
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      m_members[i]->ExpireMembers(m_now);
      const auto target = m_members[i]->NextProbe(RandomFraction());
      if (target) Probe(i, target->address.port - 1u, target->node);
    }
  }

  /// Separates the first `count` instances from the others.
  void Partition(std::size_t count) { m_partition_size = count; }
  void Heal() { m_partition_size = 0; }
  Membership& At(std::size_t i) { return *m_members[i]; }
  WallTime Now() const { return m_now; }

 private:
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  bool CanReach(std::size_t left, std::size_t right) const {
    return (left < m_partition_size) == (right < m_partition_size);
  }

  void SendRecords(std::size_t from, std::size_t to, bool all) {
    const auto records =
        all ? m_records[from]->All()
            : m_records[from]->TakeUpdates(kMaxUpdateBytes, kMaxSends);
    for (const auto& record : records) m_members[to]->Merge(record, m_now);
  }

  void Probe(std::size_t from, std::size_t to, const NodeId& node) {
    if (!CanReach(from, to)) {
      if (!node.Empty()) m_members[from]->OnProbeFailed(node, m_now);
      return;
    }
    const bool differ = m_records[from]->Digest() != m_records[to]->Digest();
    SendRecords(from, to, differ);
    SendRecords(to, from, differ);
  }

  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<RecordSet>> m_records;
  std::vector<std::unique_ptr<Membership>> m_members;
  std::size_t m_partition_size = 0;
  WallTime m_now{1000};
};

}  // namespace

Test(membership, instances_that_know_only_seeds_find_each_other) {
  SimulatedCluster cluster(20, 7);
  for (int i = 0; i < 20; ++i) cluster.Step();
  for (std::size_t i = 0; i < 20; ++i) {
    cr_expect_eq(cluster.At(i).Live().size(), 20u);
  }
}

Test(membership, a_partition_runs_on_its_own_and_rejoins_after_healing) {
  SimulatedCluster cluster(12, 3);
  for (int i = 0; i < 20; ++i) cluster.Step();
  cluster.Partition(4);
  for (int i = 0; i < 40; ++i) cluster.Step();
  cr_expect_eq(cluster.At(0).Live().size(), 4u);
  cr_expect_eq(cluster.At(11).Live().size(), 8u);
  cluster.Heal();
  for (int i = 0; i < 60; ++i) cluster.Step();
  for (std::size_t i = 0; i < 12; ++i) {
    cr_expect_eq(cluster.At(i).Live().size(), 12u);
  }
}

Test(membership, an_instance_refutes_its_own_failure) {
  RecordSet records;
  MemberInfo info;
  info.node = NodeId("a");
  info.peer_address = {"127.0.0.1", 1};
  Membership members(MembershipOptions(), info, Incarnation(5), records);
  Member failed{info, Incarnation(5), MemberStatus::kFailed};
  members.Merge(EncodeMember(failed), WallTime(0));
  const auto own = DecodeMember(*records.Find(MemberKey(info.node)));
  cr_assert(own.has_value());
  cr_expect(own->status == MemberStatus::kAlive);
  cr_expect_gt(own->incarnation.Count(), 5u);
}

Test(membership, malformed_records_are_ignored) {
  RecordSet records;
  MemberInfo info;
  info.node = NodeId("a");
  Membership members(MembershipOptions(), info, Incarnation(1), records);
  cr_expect_not(members.Merge({"member/b", 4, "not json"}, WallTime(0)));
  cr_expect_not(members.Merge({"member/b", 4, "[1]"}, WallTime(0)));
  cr_expect_eq(members.Live().size(), 1u);
}
