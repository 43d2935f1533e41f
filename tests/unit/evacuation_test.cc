#include "cowslipknot/coordination/evacuation.h"

#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr std::chrono::seconds kNow(100);
constexpr std::chrono::seconds kSoonAfter(102);
constexpr std::chrono::seconds kLongAfter(200);
const DomainId kWest("west");
const DomainId kEast("east");

StorePosition At(std::uint64_t era, std::uint64_t version) {
  return {StoreEra(era), StoreVersion(version)};
}

}  // namespace

Test(evacuation, an_order_is_in_force_until_it_is_removed) {
  EvacuationOrders orders;
  cr_expect_not(orders.EndedAt(kWest).has_value());
  cr_expect(orders.Put(kWest, At(1, 7)));
  cr_expect(orders.Contains(kWest));
  cr_expect_not(orders.Contains(kEast));
  cr_expect(orders.Remove(kWest, At(1, 9), kNow));
  cr_expect_not(orders.Contains(kWest));
  cr_expect(orders.EndedAt(kWest) == EvacuationOrders::Time(kNow));
}

Test(evacuation, an_order_that_is_written_twice_changes_nothing) {
  EvacuationOrders orders;
  cr_expect(orders.Put(kWest, At(1, 7)));
  cr_expect_not(orders.Put(kWest, At(1, 9)));
  cr_expect_eq(orders.Domains().size(), 1u);
}

Test(evacuation, the_end_of_an_order_that_is_not_known_changes_nothing) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  cr_expect_not(orders.Remove(kEast, At(1, 9), kNow));
  cr_expect_not(orders.EndedAt(kEast).has_value());
}

Test(evacuation, orders_for_two_domains_end_separately) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  orders.Put(kEast, At(1, 8));
  cr_expect(orders.Remove(kWest, At(1, 9), kNow));
  cr_expect(orders.Contains(kEast));
}

Test(evacuation, a_complete_read_ends_the_orders_that_it_does_not_list) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  orders.Put(kEast, At(1, 8));
  cr_expect(orders.RemoveUnlisted({kEast}, At(1, 9), kNow));
  cr_expect_not(orders.Contains(kWest));
  cr_expect(orders.Contains(kEast));
}

// Guards against requests to a domain whose order a lagging relay doesn't know.
Test(evacuation, a_removal_older_than_the_order_does_not_end_it) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  cr_expect_not(orders.Remove(kWest, At(1, 6), kNow));
  cr_expect_not(orders.RemoveUnlisted({}, At(1, 5), kNow));
  cr_expect(orders.Contains(kWest));
}

Test(evacuation, an_order_that_a_restore_lost_stays_until_it_is_written_again) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  cr_expect_not(orders.RemoveUnlisted({}, At(2, 4), kNow));
  cr_expect_not(orders.Expire(kSoonAfter));
  cr_expect(orders.Contains(kWest));
  cr_expect_not(orders.Put(kWest, At(2, 6)));
  cr_expect_not(orders.Expire(kLongAfter));
  cr_expect(orders.Remove(kWest, At(2, 8), kLongAfter));
}

Test(evacuation, a_lost_order_that_is_not_written_again_ends) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  orders.Remove(kWest, At(2, 4), kNow);
  cr_expect(orders.Expire(kLongAfter));
  cr_expect_not(orders.Contains(kWest));
  cr_expect(orders.EndedAt(kWest) == EvacuationOrders::Time(kLongAfter));
}

Test(evacuation, an_ended_order_that_a_copy_brings_back_is_in_force_again) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  orders.Remove(kWest, At(1, 9), kNow);
  cr_expect(orders.Put(kWest, At(2, 7)));
  cr_expect(orders.Contains(kWest));
}

// Guards against a domain that stays evacuated at one instance, since a relay
// that lags behind has listed an order that had ended.
Test(evacuation, an_order_older_than_its_known_end_is_not_in_force_again) {
  EvacuationOrders orders;
  orders.Put(kWest, At(1, 7));
  orders.Remove(kWest, At(1, 9), kNow);
  cr_expect_not(orders.Put(kWest, At(1, 7)));
  cr_expect_not(orders.Contains(kWest));
  cr_expect(orders.Put(kWest, At(1, 10)));
}
