#include "serve/cluster_clock.h"

#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;
using std::chrono::seconds;

namespace {

constexpr std::chrono::nanoseconds kBoot = seconds(500);
constexpr WallTime kWall(1700000000000);
constexpr Milliseconds kStoreTime(90000);
/// A clock of which the machine's wall clock says nothing.
constexpr WallTime kSteppedWall(1700009999000);

void AddSample(ClusterClock& clock, std::uint64_t era, Milliseconds store_time,
               std::chrono::nanoseconds now) {
  clock.AddSample(StoreEra(era), store_time, now - std::chrono::milliseconds(1),
                  now + std::chrono::milliseconds(1));
}

/// A clock that shows kWall at kBoot in era 1.
ClusterClock MakeClock() {
  ClusterClock clock;
  AddSample(clock, 1, kStoreTime, kBoot);
  clock.SetOffset({Milliseconds(kWall.Count()) - kStoreTime, StoreEra(1)});
  return clock;
}

std::int64_t SharedMs(const ClusterClock& clock, std::chrono::nanoseconds now) {
  return std::chrono::round<Milliseconds>(
             now + clock.OffsetFromBoot().value_or(seconds(0)))
      .count();
}

}  // namespace

// Guards against a shared time that jumps with the clock of a restored store.
Test(cluster_clock, shared_time_goes_on_across_jumps_of_the_store) {
  for (const Milliseconds jump :
       {Milliseconds(3600000), Milliseconds(-80000)}) {
    ClusterClock clock = MakeClock();
    const auto later = kBoot + seconds(20);
    AddSample(clock, 2, kStoreTime + seconds(20) + jump, later);
    cr_expect_not(clock.HasOffset());
    cr_expect_eq(SharedMs(clock, later), kWall.Count() + 20000);
    const auto proposed = clock.ProposeOffset(kSteppedWall, later);
    cr_assert(proposed.has_value());
    cr_expect(proposed->era == StoreEra(2));
    cr_expect(clock.SetOffset(*proposed));
    const auto end = kBoot + seconds(30);
    AddSample(clock, 2, kStoreTime + seconds(30) + jump, end);
    cr_expect_eq(SharedMs(clock, end), kWall.Count() + 30000);
    // A process that starts after the restore.
    ClusterClock fresh;
    AddSample(fresh, 2, kStoreTime + seconds(30) + jump, end);
    cr_expect(fresh.SetOffset(*proposed));
    cr_expect_eq(SharedMs(fresh, end), kWall.Count() + 30000);
  }
}

// Guards against an offset that is applied to the clock of another era, and
// against a fresh process that sets the time while others know it.
Test(cluster_clock, a_fresh_process_waits_for_an_offset_of_the_current_era) {
  ClusterClock clock;
  AddSample(clock, 2, kStoreTime, kBoot);
  cr_expect_not(clock.SetOffset({Milliseconds(7), StoreEra(1)}));
  cr_expect_not(clock.OffsetFromBoot().has_value());
  cr_expect_not(clock.ProposeOffset(kWall, kBoot + seconds(1)).has_value());
  const auto later = kBoot + seconds(4);
  const auto proposed = clock.ProposeOffset(kWall, later);
  cr_assert(proposed.has_value());
  clock.SetOffset(*proposed);
  cr_expect_eq(SharedMs(clock, later), kWall.Count());
  cr_expect_not(clock.SetOffset({Milliseconds(7), StoreEra(2)}));
}

// Guards against a late answer of an earlier era that sets the clock back.
Test(cluster_clock, samples_of_an_earlier_era_are_ignored) {
  ClusterClock clock = MakeClock();
  AddSample(clock, 0, Milliseconds(1), kBoot + seconds(1));
  cr_expect_eq(SharedMs(clock, kBoot), kWall.Count());
}

// Guards against a wait on a store that states no era, and is never restored.
Test(cluster_clock, without_eras_the_first_process_sets_the_time_at_once) {
  ClusterClock clock;
  AddSample(clock, 0, kStoreTime, kBoot);
  cr_expect(clock.ProposeOffset(kWall, kBoot).has_value());
}

// Guards against rows of the first format that can no longer be read.
Test(cluster_clock, rows_without_an_era_are_decoded) {
  cr_expect(DecodeClock("41") == (ClockRow{Milliseconds(41), StoreEra(0)}));
  const ClockRow row{Milliseconds(-41), StoreEra(3)};
  cr_expect(DecodeClock(EncodeClock(row)) == row);
  cr_expect_not(DecodeClock("41 x").has_value());
  cr_expect_not(DecodeClock("").has_value());
}
