#include "cowslipknot/state/record_set.h"

#include <rapidcheck.h>

#include <algorithm>

#include "unit_test.h"

using namespace cowslipknot;

namespace {

GossipRecord RandomRecord() {
  return {"key-" + std::to_string(*rc::gen::inRange(0, 6)),
          static_cast<std::uint64_t>(*rc::gen::inRange(0, 5)),
          std::to_string(*rc::gen::inRange(0, 3))};
}

}  // namespace

Test(record_set, merges_in_any_order_and_repetition_give_the_same_state) {
  cr_assert(rc::check([] {
    std::vector<GossipRecord> records;
    const int count = *rc::gen::inRange(0, 30);
    records.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) records.push_back(RandomRecord());
    RecordSet forward;
    for (const auto& record : records) forward.Merge(record);
    RecordSet backward;
    std::reverse(records.begin(), records.end());
    for (int pass = 0; pass < 2; ++pass) {
      for (const auto& record : records) backward.Merge(record);
    }
    RC_ASSERT(forward.Digest() == backward.Digest());
    RC_ASSERT(forward.Size() == backward.Size());
  }));
}

Test(record_set, digests_differ_when_states_differ) {
  RecordSet left;
  RecordSet right;
  left.Merge({"a", 1, "x"});
  right.Merge({"a", 1, "y"});
  cr_expect_neq(left.Digest(), right.Digest());
  right.Erase("a");
  cr_expect_eq(right.Digest(), RecordSet().Digest());
}

Test(record_set, an_update_is_sent_a_bounded_number_of_times) {
  RecordSet records;
  records.Merge({"a", 1, "x"});
  cr_expect_eq(records.TakeUpdates(1000, 2).size(), 1u);
  cr_expect_eq(records.TakeUpdates(1000, 2).size(), 1u);
  cr_expect_eq(records.TakeUpdates(1000, 2).size(), 0u);
}

Test(record_set, updates_stay_within_the_byte_limit) {
  RecordSet records;
  for (int i = 0; i < 50; ++i) {
    records.Merge({"key-" + std::to_string(i), 1, std::string(20, 'x')});
  }
  std::size_t bytes = 0;
  for (const auto& record : records.TakeUpdates(200, 3)) {
    bytes += record.key.size() + record.payload.size();
  }
  cr_expect_leq(bytes, 200u);
  cr_expect_gt(bytes, 0u);
}
