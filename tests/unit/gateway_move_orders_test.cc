#include "cowslipknot/gateway/move_orders.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

constexpr char kKey[] = "orders/s";
constexpr std::chrono::seconds kNow(100);
constexpr std::chrono::seconds kLongAfter(200);

StorePosition At(std::uint64_t era, std::uint64_t version) {
  return {StoreEra(era), StoreVersion(version)};
}

MoveOrder MakeOrder(const StorePosition& revision, std::int64_t first_seen) {
  MoveOrder order;
  order.service = ServiceId("s");
  order.to = VersionId("v2");
  order.duration = Milliseconds(15000);
  order.revision = revision;
  order.first_seen = WallTime(first_seen);
  return order;
}

}  // namespace

Test(move_orders, an_order_that_is_removed_in_its_era_ends) {
  MoveOrders orders;
  cr_expect(orders.Put(kKey, MakeOrder(At(1, 7), 5), kNow));
  cr_expect(orders.Remove(kKey, At(1, 9), kNow));
  cr_expect(orders.ByService().empty());
  cr_expect(orders.Put(kKey, MakeOrder(At(1, 10), 5), kNow));
  cr_expect(orders.RemoveUnlisted({}, At(1, 11), kNow));
  cr_expect(orders.ByService().empty());
}

Test(move_orders,
     an_order_that_a_restore_lost_stays_until_it_is_written_again) {
  MoveOrders orders;
  orders.Put(kKey, MakeOrder(At(1, 7), 5), kNow);
  cr_expect_not(orders.RemoveUnlisted({}, At(2, 4), kNow));
  cr_expect_not(orders.Remove(kKey, At(2, 4), kNow));
  cr_expect_not(orders.Expire(kNow));
  cr_expect_eq(orders.ByService().size(), 1u);
  cr_expect(orders.Put(kKey, MakeOrder(At(2, 6), 90), kNow));
  cr_expect_not(orders.Expire(kLongAfter));
  const auto order = orders.ByService().at(ServiceId("s"));
  cr_expect(order.revision == At(2, 6));
  cr_expect_eq(order.first_seen.Count(), 5);
}

Test(move_orders, a_lost_order_that_is_not_written_again_ends) {
  MoveOrders orders;
  orders.Put(kKey, MakeOrder(At(1, 7), 5), kNow);
  orders.RemoveUnlisted({}, At(2, 4), kNow);
  cr_expect(orders.Expire(kLongAfter));
  cr_expect(orders.ByService().empty());
}

Test(move_orders, another_row_of_the_same_era_is_a_new_order) {
  MoveOrders orders;
  orders.Put(kKey, MakeOrder(At(1, 7), 5), kNow);
  cr_expect_not(orders.Put(kKey, MakeOrder(At(1, 7), 90), kNow));
  cr_expect(orders.Put(kKey, MakeOrder(At(1, 8), 90), kNow));
  cr_expect_eq(orders.ByService().at(ServiceId("s")).first_seen.Count(), 90);
}

Test(move_orders, an_order_that_only_a_peer_knows_counts_if_the_store_lost_it) {
  MoveOrders orders;
  cr_expect_not(orders.PutLost(MakeOrder(At(2, 7), 5), At(2, 4), kNow));
  cr_expect(orders.PutLost(MakeOrder(At(1, 7), 5), At(2, 4), kNow));
  cr_expect_not(orders.PutLost(MakeOrder(At(1, 7), 5), At(2, 4), kLongAfter));
  cr_expect_eq(orders.ByService().size(), 1u);
  cr_expect(orders.Put(kKey, MakeOrder(At(2, 6), 90), kNow));
  cr_expect_not(orders.Expire(kLongAfter));
  cr_expect(orders.ByService().at(ServiceId("s")).revision == At(2, 6));
}

Test(move_orders, an_earlier_order_of_the_copy_does_not_replace_a_lost_one) {
  MoveOrders orders;
  orders.Put(kKey, MakeOrder(At(1, 7), 5), kNow);
  MoveOrder earlier = MakeOrder(At(2, 3), 90);
  earlier.to = VersionId("v1");
  cr_expect_not(orders.Put(kKey, earlier, kNow));
  cr_expect_eq(orders.ByService().at(ServiceId("s")).to.Text(), "v2");
  MoveOrders rewritten = orders;
  cr_expect(rewritten.Put(kKey, MakeOrder(At(2, 6), 90), kNow));
  cr_expect_not(rewritten.Expire(kLongAfter));
  cr_expect(orders.Expire(kLongAfter));
  cr_expect_eq(orders.ByService().at(ServiceId("s")).to.Text(), "v1");
  cr_expect_not(orders.Expire(kLongAfter));
  MoveOrder next = MakeOrder(At(2, 8), 90);
  next.to = VersionId("v3");
  cr_expect(orders.Put(kKey, next, kNow));
}
