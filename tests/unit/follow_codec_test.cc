#include "serve/follow_codec.h"

#include <functional>
#include <limits>
#include <map>

#include "base/json_number.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

ServerEntry MakeServer() {
  ServerEntry entry;
  entry.id = ServerId("s1");
  entry.service = ServiceId("s");
  entry.address = Endpoint{"10.0.0.1", 8000};
  entry.started_ms = 1'700'000'000'000;
  return entry;
}

wire::FollowUpdateT MakeUpdate() {
  wire::FollowUpdateT update;
  update.configuration_age_ms = 300;
  ServerChange change;
  change.id = ServerId("s1");
  change.entry = MakeServer();
  update.registrations.push_back(PackServer(change));
  ServerChange removal;
  removal.id = ServerId("s2");
  update.registrations.push_back(PackServer(removal));
  InstanceSummary instance;
  instance.node = NodeId("gw1");
  instance.peers = Endpoint{"10.0.0.2", 7600};
  update.instances.push_back(PackInstance(instance));
  instance.peers.reset();
  update.instances.push_back(PackInstance(instance));
  update.demand.push_back(std::make_unique<wire::WorkspaceDemandT>());
  update.demand.back()->per_s = 12.5;
  return update;
}

using Change = std::function<void(wire::FollowUpdateT&)>;

}  // namespace

Test(follow_codec, an_update_of_a_relay_is_accepted) {
  cr_expect(CheckUpdate(MakeUpdate()).has_value());
  cr_expect(CheckUpdate(wire::FollowUpdateT()).has_value());
}

// Guards against a frame whose numbers overflow, which makes a confirmation
// that never was count as recent, or a server count as leaving for good.
Test(follow_codec, an_update_out_of_range_is_rejected) {
  constexpr auto kMaxSigned = std::numeric_limits<std::int64_t>::max();
  const std::map<std::string, Change> changes = {
      {"age",
       [](auto& update) {
         update.configuration_age_ms =
             std::numeric_limits<std::uint64_t>::max();
       }},
      {"port", [](auto& update) { update.registrations[0]->port = 0; }},
      {"host", [](auto& update) { update.registrations[0]->host = "nowhere"; }},
      {"no host", [](auto& update) { update.registrations[0]->host.clear(); }},
      {"start",
       [](auto& update) {
         update.registrations[0]->started_ms = kMaxUnixMs + 1;
       }},
      {"negative start",
       [](auto& update) { update.registrations[0]->started_ms = -1; }},
      {"warm-up",
       [](auto& update) { update.registrations[0]->warmup_ms = kMaxSigned; }},
      {"peer host",
       [](auto& update) { update.instances[0]->peer_host = "10.0.0.256"; }},
      {"peer port", [](auto& update) { update.instances[0]->peer_port = 0; }},
      {"rate",
       [](auto& update) {
         update.demand[0]->per_s = std::numeric_limits<double>::quiet_NaN();
       }},
      {"negative rate", [](auto& update) { update.demand[0]->per_s = -1; }},
  };
  for (const auto& [name, change] : changes) {
    wire::FollowUpdateT update = MakeUpdate();
    change(update);
    const auto checked = CheckUpdate(update);
    cr_expect_not(checked.has_value(), "%s", name.c_str());
    if (!checked) cr_expect(checked.error().code == ResultCode::kBadFrame);
  }
}

Test(follow_codec, a_notice_that_a_server_leaves_names_a_start_it_can_have) {
  GossipRecord notice{"s1", 1'700'000'000'000, {}};
  cr_expect_eq(UnpackStart(notice).value(), 1'700'000'000'000);
  for (const std::uint64_t start :
       {static_cast<std::uint64_t>(kMaxUnixMs) + 1, std::uint64_t{1} << 63,
        std::numeric_limits<std::uint64_t>::max()}) {
    notice.version = start;
    cr_expect_not(UnpackStart(notice).has_value());
  }
}
