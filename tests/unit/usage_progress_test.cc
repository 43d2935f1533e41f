#include "cowslipknot/gateway/usage_progress.h"

#include "cowslipknot/gateway/instance_table.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

const WindowCounts kCounts{{WorkspaceId("w"), 3}};
const WindowCounts kOtherCounts{{WorkspaceId("w"), 2}};

UsageProgress::Reading MakeReading(std::uint64_t era) {
  UsageProgress::Reading reading;
  reading.era = StoreEra(era);
  return reading;
}

/// The state of a process that read windows up to 10 as done in era 1.
UsageProgress MakeProgress(std::optional<Epoch> held) {
  UsageProgress progress;
  auto reading = MakeReading(1);
  reading.done = UsageDoneRow{10, StoreEra(1)};
  reading.held = held;
  progress.Observe(reading);
  return progress;
}

InstanceReport MakeReport(const std::string& node, std::uint64_t sequence,
                          std::uint64_t count) {
  InstanceReport report;
  report.node = NodeId(node);
  report.started_ms = 1;
  report.sequence = sequence;
  report.usage.Record(7, WorkspaceId("w"), count);
  return report;
}

}  // namespace

// Guards against a second report of a window whose row the restore lost.
Test(usage_progress, the_last_window_never_goes_back) {
  UsageProgress progress = MakeProgress(std::nullopt);
  auto older = MakeReading(2);
  older.done = UsageDoneRow{6, StoreEra(1)};
  older.last_fixed = 8;
  progress.Observe(older);
  cr_expect_eq(progress.LastDone().value_or(0), 10u);
  progress.Observe(MakeReading(3));
  cr_expect_eq(progress.LastDone().value_or(0), 10u);
}

// Guards against other counts for a window that was reported between this
// process's last reading and the restore.
Test(usage_progress, windows_of_an_earlier_era_are_skipped) {
  UsageProgress progress = MakeProgress(std::nullopt);
  auto restored = MakeReading(2);
  progress.Observe(restored);
  cr_expect_not(progress.IsReady());
  restored.last_fixed = 13;
  progress.Observe(restored);
  cr_expect(progress.IsReady());
  cr_expect(progress.MustSkip(11) && progress.MustSkip(13));
  cr_expect_not(progress.MustSkip(14));
  // Later readings of the same era move no bound.
  restored.last_fixed = 20;
  progress.Observe(restored);
  cr_expect_not(progress.MustSkip(14));
}

// Guards against a fresh process that takes a leftover row for the latest one.
Test(usage_progress, a_fresh_process_trusts_a_row_of_the_current_era_only) {
  for (const std::uint64_t written : {1, 2}) {
    UsageProgress progress;
    auto reading = MakeReading(2);
    reading.done = UsageDoneRow{10, StoreEra(written)};
    reading.last_fixed = 13;
    progress.Observe(reading);
    cr_expect_eq(progress.MustSkip(13), written == 1);
  }
}

// Guards against a fresh process that believes counts which the store holds
// from its copy, while other ones were reported since.
Test(usage_progress, leftover_counts_are_not_believed) {
  UsageProgress progress;
  auto reading = MakeReading(2);
  reading.last_fixed = 13;
  reading.counts[12] = UsageCountsRow{kCounts, StoreEra(1)};
  reading.counts[13] = UsageCountsRow{kCounts, StoreEra(2)};
  progress.Observe(reading);
  cr_expect(progress.MustSkip(12));
  cr_expect_not(progress.MustSkip(13));
  cr_expect(progress.FixedCounts(13) == kCounts);
}

// Guards against counting again a window whose fixed counts the restore lost.
Test(usage_progress, known_counts_outlive_a_restore) {
  UsageProgress progress = MakeProgress(std::nullopt);
  progress.RecordFixed(11, kCounts);
  auto restored = MakeReading(2);
  restored.last_fixed = 12;
  progress.Observe(restored);
  cr_expect_not(progress.MustSkip(11));
  cr_expect(progress.FixedCounts(11) == kCounts);
  cr_expect_not(progress.IsFixedInEra(11));
  cr_expect(progress.MustSkip(12));
  restored.counts[11] = UsageCountsRow{kOtherCounts, StoreEra(2)};
  progress.Observe(restored);
  cr_expect(progress.MustSkip(11), "two different counts are known");
}

// Guards against windows that are missed although their only reporter lives.
Test(usage_progress, the_holder_since_before_a_restore_skips_nothing) {
  UsageProgress progress = MakeProgress(Epoch(5));
  progress.RecordFixed(11, kCounts);
  auto restored = MakeReading(2);
  restored.held = Epoch(5);
  restored.last_fixed = 13;
  progress.Observe(restored);
  cr_expect(progress.IsReady());
  cr_expect_not(progress.MustSkip(11) || progress.MustSkip(12));
  // A process that reads its row must not count window 11 again.
  cr_expect_not(progress.NeedsDoneRow());
  cr_expect(progress.DoneRow() == (UsageDoneRow{10, StoreEra(0)}));
  progress.RecordFixed(11, kCounts);
  cr_expect(progress.NeedsDoneRow());
  cr_expect(progress.DoneRow() == (UsageDoneRow{10, StoreEra(2)}));
}

// Guards against a new holder that passes for the only reporter before it.
Test(usage_progress, a_holder_that_read_nothing_since_it_took_the_lease_skips) {
  UsageProgress progress = MakeProgress(std::nullopt);
  auto restored = MakeReading(2);
  restored.held = Epoch(5);
  restored.last_fixed = 13;
  progress.Observe(restored);
  cr_expect(progress.MustSkip(13));
}

// Guards against a row that lets fresh processes report what is to be skipped.
Test(usage_progress, the_row_states_the_era_after_the_skipped_windows) {
  UsageProgress progress = MakeProgress(std::nullopt);
  auto restored = MakeReading(2);
  restored.last_fixed = 12;
  progress.Observe(restored);
  progress.RecordDone(11);
  cr_expect(progress.DoneRow() == (UsageDoneRow{11, StoreEra(0)}));
  progress.RecordDone(12);
  cr_expect(progress.NeedsDoneRow());
  cr_expect(progress.DoneRow() == (UsageDoneRow{12, StoreEra(2)}));
}

// Guards against rows of the first format that can no longer be read.
Test(usage_progress, rows_without_an_era_are_decoded) {
  cr_expect(DecodeUsageDone("41") == (UsageDoneRow{41, StoreEra(0)}));
  cr_expect_not(DecodeUsageDone("41 x").has_value());
  const UsageDoneRow done{41, StoreEra(3)};
  cr_expect(DecodeUsageDone(EncodeUsageDone(done)) == done);
  cr_expect(DecodeUsageCounts(R"({"w":3})") ==
            (UsageCountsRow{kCounts, StoreEra(0)}));
  cr_expect(DecodeUsageCounts(R"({"counts":3})") ==
            (UsageCountsRow{{{WorkspaceId("counts"), 3}}, StoreEra(0)}));
  cr_expect_not(DecodeUsageCounts("[]").has_value());
  const UsageCountsRow counts{kCounts, StoreEra(3)};
  cr_expect(DecodeUsageCounts(EncodeUsageCounts(counts)) == counts);
}

// Guards against counts of ended processes that a restore erases.
Test(instance_table, reports_that_a_restore_lost_still_count) {
  const auto now = std::chrono::nanoseconds(std::chrono::seconds(100));
  InstanceTable table(Milliseconds(6000));
  table.Observe(
      {{"a/1", MakeReport("a", 9, 4)}, {"b/1", MakeReport("b", 9, 2)}}, now,
      StoreEra(1));
  table.Observe({{"b/1", MakeReport("b", 5, 1)}}, now, StoreEra(2));
  cr_expect_eq(table.SumWindow(7).at(WorkspaceId("w")), 6u);
  table.Observe({{"b/1", MakeReport("b", 5, 1)}}, now, StoreEra(2));
  cr_expect_eq(table.SumWindow(7).at(WorkspaceId("w")), 6u);
  const auto later = now + std::chrono::seconds(7);
  cr_expect_eq(table.ObsoleteKeys(8, later).size(), 1u, "a's row is not there");
  table.ForgetLost(7, later);
  cr_expect_eq(table.SumWindow(7).at(WorkspaceId("w")), 6u);
  table.ForgetLost(8, later);
  cr_expect_eq(table.SumWindow(7).at(WorkspaceId("w")), 2u);
  table.Observe({}, now, StoreEra(2));
  cr_expect(table.All().empty());
}
