// Measures how the time, bytes and gossip rounds that the pure modules need
// grow with the number of instances, servers or objects. Prints one JSON object
// per line.
#include <boost/json.hpp>
#include <cmath>
#include <iostream>
#include <limits>
#include <memory>
#include <random>

#include "base/clock.h"
#include "cowslipknot/coordination/choose_server.h"
#include "cowslipknot/coordination/membership.h"
#include "cowslipknot/coordination/move_decision.h"
#include "cowslipknot/state/configuration.h"
#include "cowslipknot/state/fleet.h"
#include "protocol/peer_frame.h"

namespace cowslipknot {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxGossipBytes = 1200;
constexpr std::size_t kLengthPrefixBytes = 4;  ///< precedes each frame
constexpr double kProbesPerSecond = 2;
constexpr double kSendsPerFleetDoubling = 3;
constexpr int kMeasuredRounds = 40;
constexpr int kRepeats = 20000;

/// Prints one measured value as a JSON object.
/// @param n  size at which it was measured
template <class Number>
void PrintResult(const std::string& name, std::size_t n,
                 const std::string& unit, Number value) {
  json::object line;
  line["name"] = name;
  line["n"] = n;
  line["unit"] = unit;
  line["value"] = static_cast<double>(value);
  std::cout << json::serialize(line) << "\n";
}

template <class Work>
double MeanMicroseconds(int repeats, Work work) {
  const auto start = SteadyClock::now();
  for (int i = 0; i < repeats; ++i) work(i);
  const std::chrono::duration<double, std::micro> passed =
      SteadyClock::now() - start;
  return passed.count() / repeats;
}

/// Instances that exchange encoded frames in memory. In each round, every
/// instance sends one probe.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::size_t size) : m_random(1) {
    for (std::size_t i = 0; i < size; ++i) {
      m_records.push_back(std::make_unique<RecordSet>());
      MemberInfo info;
      info.node = NodeId("region-1-domain-3-entry-" + std::to_string(i));
      info.peer_address = {"10.20.30.40", static_cast<std::uint16_t>(i + 1)};
      info.operator_address = {"10.20.30.40", 9080};
      info.domain = DomainId("region-1-domain-" + std::to_string(i % 6));
      MembershipOptions options;
      options.seeds = {{"10.20.30.40", 1}, {"10.20.30.40", 2}};
      m_members.push_back(std::make_unique<Membership>(
          options, info, Incarnation(1796368520954), *m_records.back()));
    }
  }

  /// Gives every instance all records and leaves no updates to be sent.
  void SynchronizeAll() {
    std::vector<GossipRecord> all;
    for (const auto& records : m_records) {
      const auto own = records->All();
      all.insert(all.end(), own.begin(), own.end());
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      for (const auto& record : all) {
        m_members[i]->Merge(record, WallTime(0));
      }
      m_records[i]->TakeUpdates(std::numeric_limits<std::size_t>::max(), 1);
    }
  }

  void RunRound() {
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      m_members[i]->ExpireMembers(WallTime(0));
      const double draw =
          std::uniform_real_distribution<double>(0, 1)(m_random);
      const auto target = m_members[i]->NextProbe(draw);
      if (!target) continue;
      const std::size_t to = target->address.port - 1u;
      const bool differ = m_records[i]->Digest() != m_records[to]->Digest();
      const bool full_state = target->node.Empty() && differ;
      Send(i, to, full_state);
      Send(to, i, full_state);
    }
  }

  /// Publishes a new revision at one instance.
  /// @return the number of rounds until all instances have received it
  int CountRoundsToReachAll(std::uint64_t revision) {
    const std::string key = "revision/latest";
    m_records[0]->Merge({key, revision, ""});
    for (int round = 1;; ++round) {
      RunRound();
      std::size_t informed = 0;
      for (const auto& records : m_records) {
        const GossipRecord* record = records->Find(key);
        informed += record != nullptr && record->version == revision ? 1 : 0;
      }
      if (informed == m_records.size()) return round;
    }
  }

  std::uint64_t Bytes() const { return m_bytes; }
  std::size_t LargestFrame() const { return m_largest_frame; }

 private:
  void Send(std::size_t from, std::size_t to, bool full_state) {
    PeerFrame frame;
    frame.token = "a-peer-token-of-32-characters---";
    frame.sender = m_members[from]->Self().node.Text();
    const double members = static_cast<double>(m_members[from]->LiveCount());
    const auto sends = static_cast<std::uint32_t>(
        std::ceil(kSendsPerFleetDoubling * std::log2(members + 1)));
    AddRecords(frame, full_state ? m_records[from]->All()
                                 : m_records[from]->TakeUpdates(kMaxGossipBytes,
                                                                sends));
    const FrameBytes bytes = EncodeFrame(frame);
    m_bytes += bytes.size() + kLengthPrefixBytes;
    m_largest_frame = std::max(m_largest_frame, bytes.size());
    const auto decoded = DecodeFrame(bytes, frame.token);
    for (const auto& record : ExtractRecords(*decoded)) {
      const bool is_member = DecodeMember(record).has_value();
      if (is_member) {
        m_members[to]->Merge(record, WallTime(0));
      } else {
        m_records[to]->Merge(record);
      }
    }
  }

  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<RecordSet>> m_records;
  std::vector<std::unique_ptr<Membership>> m_members;
  std::uint64_t m_bytes = 0;
  std::size_t m_largest_frame = 0;
};

void MeasureMembership() {
  for (const std::size_t size : {5, 20, 60, 120, 360}) {
    SimulatedCluster cluster(size);
    cluster.SynchronizeAll();
    const std::uint64_t before = cluster.Bytes();
    const double idle_us = MeanMicroseconds(
        kMeasuredRounds, [&cluster](int) { cluster.RunRound(); });
    // Each byte is sent by one instance and received by another.
    const double idle_bytes =
        2.0 * static_cast<double>(cluster.Bytes() - before) / kMeasuredRounds *
        kProbesPerSecond / static_cast<double>(size);
    PrintResult("membership_idle_bytes", size, "B/s a node, both ways",
                idle_bytes);
    PrintResult("membership_idle_cpu", size, "share of a core a node",
                idle_us * kProbesPerSecond / 1e6 / static_cast<double>(size));
    const std::uint64_t bytes_before_change = cluster.Bytes();
    const int rounds = cluster.CountRoundsToReachAll(2);
    PrintResult("revision_heard_by_all", size, "s", rounds / kProbesPerSecond);
    // Instances keep sending the update after all have received it.
    for (int i = rounds; i < kMeasuredRounds; ++i) cluster.RunRound();
    const double all_bytes =
        2.0 * static_cast<double>(cluster.Bytes() - bytes_before_change) /
        static_cast<double>(size);
    const double seconds = kMeasuredRounds / kProbesPerSecond;
    PrintResult("revision_spread_bytes", size, "B a node for one change",
                all_bytes - idle_bytes * seconds);
  }
}

std::vector<ServerView> MakeServers(std::size_t count) {
  std::vector<ServerView> servers;
  for (std::size_t i = 0; i < count; ++i) {
    ServerView server;
    server.record.id = ServerId("region-1-engine-" + std::to_string(i));
    server.record.domain = DomainId("d" + std::to_string(i % 6));
    server.load = std::make_shared<ServerLoad>();
    servers.push_back(std::move(server));
  }
  return servers;
}

void MeasureServerChoice() {
  for (const std::size_t size : {20, 60, 200, 600}) {
    const auto servers = MakeServers(size);
    RequestCost cost;
    cost.prompt = TokenCount(1000);
    cost.prefix = TokenCount(500);
    ChoiceContext context;
    context.now = NowWall();
    const double us = MeanMicroseconds(kRepeats, [&](int i) {
      cost.prefix_hash = static_cast<std::uint64_t>(i);
      context.draw = (i % 1000) / 1000.0;
      ChooseServer(cost, servers, context).value();
    });
    PrintResult("choose_server", size, "us a request", us);
  }
}

void MeasureFleet() {
  for (const std::size_t size : {20, 60, 200, 600}) {
    Fleet fleet;
    std::vector<InstanceRecord> rows;
    for (const auto& server : MakeServers(size)) rows.push_back(server.record);
    fleet.Apply(rows);
    const double us =
        MeanMicroseconds(200, [&fleet](int) { fleet.Available(); });
    PrintResult("snapshot_servers", size, "us a snapshot", us);
  }
}

void MeasureConfiguration() {
  for (const std::size_t size : {10, 40, 160, 640}) {
    Configuration configuration;
    std::string& text = configuration.objects_text;
    text =
        "[[pool]]\nname = \"p\"\n[[service]]\nname = \"s\"\nversion = "
        "\"v\"\n[[version]]\nname = \"v\"\nservice = \"s\"\npool = \"p\"\n";
    for (std::size_t i = 0; i < size; ++i) {
      const std::string name = "route-" + std::to_string(i);
      text.append("[[route]]\nname = \"").append(name);
      text.append("\"\nservice = \"s\"\nmodel = \"").append(name);
      text.append("\"\nclass = \"interactive\"\nfirst_token_ms = 1400\n");
    }
    const std::string encoded = EncodeConfiguration(configuration);
    const double us = MeanMicroseconds(
        20, [&encoded](int) { DecodeConfiguration(encoded).value(); });
    PrintResult("configuration_bytes", size, "B a change", encoded.size());
    PrintResult("configuration_decode", size, "us a change", us);
  }
}

void MeasureHandOver() {
  for (const std::size_t chars : {1000, 4000, 16000}) {
    PeerFrame frame;
    frame.kind = wire::Kind::Keep;
    frame.descriptor = std::make_unique<wire::DescriptorT>();
    frame.descriptor->request = "r-region-1-entry-17-0123456789abcdef";
    frame.descriptor->body = std::string(chars, 'x');
    for (int i = 0; i < 100; ++i) frame.descriptor->tokens.push_back("word ");
    const FrameBytes bytes = EncodeFrame(frame);
    const double us =
        MeanMicroseconds(2000, [&frame](int) { EncodeFrame(frame); });
    PrintResult("hand_over_bytes", chars, "B a request in flight",
                bytes.size());
    PrintResult("hand_over_encode", chars, "us a request", us);
  }
}

void MeasureMoveDecision() {
  Move move;
  move.duration = Milliseconds(3600000);
  MoveState state;
  state.share = 0.1;
  for (const std::size_t routes : {1, 4, 16}) {
    MoveEvidence evidence;
    for (std::size_t i = 0; i < routes; ++i) {
      RouteEvidence seen;
      seen.old_errors = {10000, 100};
      seen.new_errors = {1000, 12};
      seen.old_slow = {9900, 300};
      seen.new_slow = {988, 30};
      evidence[RouteId("r" + std::to_string(i))] = seen;
    }
    const double us = MeanMicroseconds(
        500, [&](int) { DecideMove(move, state, evidence, WallTime(1000)); });
    PrintResult("decide_move", routes, "us a step", us);
  }
}

}  // namespace
}  // namespace cowslipknot

int main() {
  cowslipknot::MeasureMembership();
  cowslipknot::MeasureServerChoice();
  cowslipknot::MeasureFleet();
  cowslipknot::MeasureConfiguration();
  cowslipknot::MeasureHandOver();
  cowslipknot::MeasureMoveDecision();
  return 0;
}
