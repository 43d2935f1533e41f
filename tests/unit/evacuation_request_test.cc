#include "cowslipknot/coordination/evacuation_request.h"

#include "cowslipknot/state/fleet.h"
#include "unit_test.h"

/// Evacuation of failure domains by the commands of `serve`.
using namespace cowslipknot;

namespace {

using Domains = std::set<DomainId>;

const DomainId kWest("west-a");
const DomainId kEast("east-a");
const Domains kListed{kWest, kEast};

EvacuationRequest Begin(const DomainId& domain) {
  return {domain, EvacuationAction::kBegin};
}

EvacuationRequest End(const DomainId& domain) {
  return {domain, EvacuationAction::kEnd};
}

InstanceRecord MakeServer(const std::string& id, const DomainId& domain) {
  InstanceRecord record;
  record.id = ServerId(id);
  record.kind = "engine";
  record.domain = domain;
  record.pool = PoolId("pool of " + domain.Text());
  record.incarnation = Incarnation(1);
  return record;
}

}  // namespace

Test(evacuation_request, an_order_begins_and_ends) {
  const auto begun = DecideEvacuations({}, kListed, Begin(kWest));
  cr_assert(begun.has_value());
  cr_expect(*begun == Domains{kWest});
  const auto ended = DecideEvacuations(*begun, kListed, End(kWest));
  cr_assert(ended.has_value());
  cr_expect(ended->empty());
}

Test(evacuation_request, all_domains_may_be_evacuated_and_end_separately) {
  const auto both = DecideEvacuations({kWest}, kListed, Begin(kEast));
  cr_assert(both.has_value());
  cr_expect(*both == kListed);
  const auto one = DecideEvacuations(*both, kListed, End(kWest));
  cr_assert(one.has_value());
  cr_expect(*one == Domains{kEast});
}

// Guards against an error for a command that is repeated because its answer
// was lost.
Test(evacuation_request, an_order_that_is_given_twice_changes_nothing) {
  const auto again = DecideEvacuations({kWest}, kListed, Begin(kWest));
  cr_assert(again.has_value());
  cr_expect(*again == Domains{kWest});
}

Test(evacuation_request, bad_input_has_a_number) {
  const auto empty = DecideEvacuations({}, kListed, Begin(DomainId()));
  cr_assert_not(empty.has_value());
  cr_expect_eq(empty.error().code, ResultCode::kMalformedRequest);
  const auto unknown =
      DecideEvacuations({}, kListed, Begin(DomainId("west-b")));
  cr_assert_not(unknown.has_value());
  cr_expect_eq(unknown.error().code, ResultCode::kUnknownDomain);
  cr_expect(unknown.error().detail.find("did you mean 'west-a'") !=
            std::string::npos);
  const auto other = DecideEvacuations({kWest}, kListed, End(kEast));
  cr_assert_not(other.has_value());
  cr_expect_eq(other.error().code, ResultCode::kNotEvacuated);
}

// Guards against an order that can't be ended once the domain is empty.
Test(evacuation_request, an_order_for_a_domain_that_is_gone_can_be_ended) {
  const auto ended = DecideEvacuations({kWest}, {kEast}, End(kWest));
  cr_assert(ended.has_value());
  cr_expect(ended->empty());
  const auto again = DecideEvacuations({kWest}, {kEast}, Begin(kWest));
  cr_expect(again.has_value());
}

// Guards against servers of an evacuated domain that get requests, also those
// that start meanwhile, and against state that the evacuation loses.
Test(evacuation_request, servers_of_evacuated_domains_are_not_available) {
  Fleet fleet;
  fleet.Apply({MakeServer("w0", kWest), MakeServer("e0", kEast)});
  const auto load = fleet.Find(ServerId("w0"))->load;
  fleet.Apply({MakeServer("w1", kWest)});
  const auto left = fleet.Available({kWest});
  cr_expect_eq(left.size(), 1u);
  cr_expect(left.contains(PoolId("pool of east-a")));
  cr_expect(fleet.Available(kListed).empty());
  const auto servers = fleet.Available().at(PoolId("pool of west-a"));
  cr_expect_eq(servers.size(), 2u);
  cr_expect(servers.front().load == load);
}

Test(evacuation_request, orders_are_part_of_the_published_configuration) {
  Configuration configuration;
  configuration.revision = Revision(3);
  const std::string without = EncodeConfiguration(configuration);
  cr_expect(without.find("evacuated") == std::string::npos);
  configuration.evacuated = kListed;
  const auto decoded = DecodeConfiguration(EncodeConfiguration(configuration));
  cr_assert(decoded.has_value());
  cr_expect(decoded->evacuated == kListed);
  const auto earlier = DecodeConfiguration(without);
  cr_assert(earlier.has_value());
  cr_expect(earlier->evacuated.empty());
}
