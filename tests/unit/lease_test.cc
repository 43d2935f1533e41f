#include "cowslipknot/coordination/lease.h"

#include <rapidcheck.h>

#include <map>
#include <random>

#include "unit_test.h"

using namespace cowslipknot;

namespace {

using Time = LeaseView::Time;

constexpr Milliseconds kDuration(1000);
constexpr Milliseconds kTakeover(1300);  // 1.3 times the duration
const Time kStart{};

constexpr StorePosition At(std::uint64_t era, std::uint64_t version) {
  return {StoreEra(era), StoreVersion(version)};
}

LeaseRow MakeRow(const char* holder, std::uint64_t era) {
  LeaseRow row;
  row.holder = NodeId(holder);
  row.era = StoreEra(era);
  return row;
}

LeaseView MakeHolder(const StorePosition& acquired, Time sent) {
  LeaseView view(NodeId("a"), kDuration);
  view.Observe(std::nullopt, {acquired.era, StoreVersion(0)}, sent);
  view.RecordOwnWrite(view.NextRow(), acquired, sent);
  return view;
}

/// A store with the lease row only, which can be restored from its copies.
class ModelStore {
 public:
  struct Copy {
    std::optional<LeaseRow> row;
    std::uint64_t row_version = 0;
    std::uint64_t version = 0;
  };

  StorePosition Position() const { return At(m_era, m_state.row_version); }
  const std::optional<LeaseRow>& Row() const { return m_state.row; }

  bool Write(std::uint64_t expected_version, const LeaseRow& row) {
    if (m_state.row_version != expected_version) return false;
    m_state.row = row;
    m_state.row_version = ++m_state.version;
    m_copies.push_back(m_state);
    return true;
  }
  void WriteOtherRows(std::uint64_t count) { m_state.version += count; }
  void Restore(std::size_t choice) {
    ++m_era;
    m_state = m_copies[m_copies.size() - 1 - choice % m_copies.size()];
  }

 private:
  std::uint64_t m_era = 1;
  Copy m_state;
  std::vector<Copy> m_copies{Copy()};
};

/// A call on its way to the store, or its response on the way back.
struct Call {
  bool is_write = false;
  std::uint64_t expected_version = 0;
  std::optional<LeaseRow> row;
  StorePosition position;
  Time sent{};
  bool performed = false;
  bool refused = false;
};

struct Instance {
  LeaseView view;
  std::optional<Call> call;  ///< the response that it waits for
  std::uint64_t process = 0;
};

/// Instances of which any is paused, killed or cut off at any point, on a store
/// that performs calls late and loses what it wrote.
class ModelFleet {
 public:
  explicit ModelFleet(std::uint32_t seed) : m_random(seed) {
    for (int i = 0; i < kInstances; ++i) m_instances.push_back(Start(i));
  }

  void Step() {
    const std::size_t index = Draw(kInstances);
    Instance& instance = m_instances[index];
    switch (Draw(20)) {
      case 0:
        m_now += Milliseconds(Draw(1500));
        break;
      case 1:
        if (Draw(4) == 0) m_store.Restore(Draw(6));
        break;
      case 2:
        if (Draw(3) == 0) instance = Start(index);
        break;
      case 3:
        if (Draw(3) == 0) Release(index);
        break;
      case 4:
        Abandon(instance);
        break;
      case 5:
        PerformLateCall();
        break;
      case 6:
        m_store.WriteOtherRows(Draw(3));
        break;
      default:
        m_now += Milliseconds(Draw(60));
        Advance(instance);
    }
    Check();
  }

  int Acquisitions() const { return static_cast<int>(m_processes.size()); }

 private:
  static constexpr int kInstances = 3;

  std::size_t Draw(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
  }

  /// A fresh process in place of one that was killed.
  Instance Start(std::size_t index) {
    if (index < m_instances.size()) Abandon(m_instances[index]);
    ++m_last_process;
    return {LeaseView(NodeId("n" + std::to_string(index)), kDuration,
                      m_last_process),
            std::nullopt, m_last_process};
  }

  void Release(std::size_t index) {
    Instance& instance = m_instances[index];
    if (instance.call || !instance.view.MayAct(m_now)) return;
    SendWrite(instance, instance.view.ReleasedRow());
    instance.view.StopActing();
    if (Draw(2) == 0) Perform(*instance.call);
    m_instances[index] = Start(index);
  }

  void Abandon(Instance& instance) {
    if (instance.call && !instance.call->performed && instance.call->is_write)
      m_late_calls.push_back(*instance.call);
    instance.call.reset();
  }

  void PerformLateCall() {
    if (m_late_calls.empty()) return;
    const std::size_t chosen = Draw(m_late_calls.size());
    Perform(m_late_calls[chosen]);
    m_late_calls.erase(m_late_calls.begin() +
                       static_cast<std::ptrdiff_t>(chosen));
  }

  void SendWrite(Instance& instance, const LeaseRow& row) {
    Call call;
    call.is_write = true;
    call.row = row;
    call.expected_version = instance.view.Position().version.Count();
    call.sent = m_now;
    instance.view.RecordSent(row, m_now);
    instance.call = call;
  }

  void Perform(Call& call) {
    call.performed = true;
    if (call.is_write) {
      call.refused = !m_store.Write(call.expected_version, *call.row);
    } else {
      call.row = m_store.Row();
    }
    call.position = m_store.Position();
  }

  /// Lets an instance's call proceed, or starts its next one.
  void Advance(Instance& instance) {
    if (instance.call && !instance.call->performed) {
      Perform(*instance.call);
      return;
    }
    if (instance.call) {
      Receive(instance.view, *instance.call);
      instance.call.reset();
      return;
    }
    LeaseView& view = instance.view;
    const bool takes = view.MayAcquire(m_now) || view.IsHeldByPredecessor() ||
                       (view.IsReleased() && Draw(2) == 0);
    if (Draw(2) == 0 && (takes || view.ShouldRenew(m_now))) {
      SendWrite(instance, view.NextRow());
    } else {
      instance.call = Call();
    }
  }

  void Receive(LeaseView& view, const Call& call) {
    if (!call.is_write) {
      view.Observe(call.row, call.position, m_now);
    } else if (call.refused) {
      view.RecordRefused(call.sent);
    } else {
      view.RecordOwnWrite(*call.row, call.position, call.sent);
    }
  }

  void Check() {
    int acting = 0;
    for (const auto& instance : m_instances) {
      if (!instance.view.MayAct(m_now)) continue;
      ++acting;
      const Epoch epoch = instance.view.CurrentEpoch();
      const auto user = m_processes.try_emplace(epoch, instance.process).first;
      RC_ASSERT(user->second == instance.process);
      RC_ASSERT(epoch == m_processes.rbegin()->first);
    }
    RC_ASSERT(acting <= 1);
  }

  std::mt19937 m_random;
  Time m_now = kStart;
  ModelStore m_store;
  std::uint64_t m_last_process = 0;
  std::vector<Instance> m_instances;
  std::vector<Call> m_late_calls;
  std::map<Epoch, std::uint64_t> m_processes;  ///< by the epoch they acted with
};

}  // namespace

// Guards against two holders, and against an epoch that is used a second time,
// when the store is restored beside late calls, pauses and killed processes.
Test(lease, restores_never_give_two_holders_or_an_epoch_twice) {
  int schedules = 0;
  int acquisitions = 0;
  cr_assert(rc::check([&] {
    ModelFleet fleet(*rc::gen::arbitrary<std::uint32_t>());
    for (int step = 0; step < 2000; ++step) fleet.Step();
    ++schedules;
    acquisitions += fleet.Acquisitions();
  }));
  cr_expect_gt(acquisitions, 5 * schedules, "the schedules block each other");
}

// Guards against an epoch of an earlier era that is above one of a later era.
Test(lease, epochs_rise_with_the_positions_of_the_store) {
  cr_expect_lt(EpochAt(At(1, 1000000)).Count(), EpochAt(At(2, 1)).Count());
  cr_expect_lt(EpochAt(At(2, 1)).Count(), EpochAt(At(2, 2)).Count());
  cr_expect_eq(EpochAt(At(0, 7)).Count(), 7u);
  cr_expect_lt(EpochAt(At(500, 1000000)).Count(), std::uint64_t(1) << 53);
}

// Guards against a lease that is renewed so late that one lost write lets it
// expire.
Test(lease, is_renewed_early_enough_for_another_try) {
  // As the gateways use it; their holder reports every second.
  constexpr Milliseconds kLeaseDuration(3600);
  constexpr Milliseconds kReportInterval(1000);
  LeaseView view(NodeId("a"), kLeaseDuration);
  view.Observe(std::nullopt, At(0, 0), kStart);
  view.RecordOwnWrite(view.NextRow(), At(0, 1), kStart);
  cr_expect(view.ShouldRenew(kStart + kReportInterval));
  cr_expect(view.MayAct(kStart + 2 * kReportInterval));
}

// Guards against a new epoch with each renewal, and one of another's write.
Test(lease, a_renewal_keeps_the_epoch_of_its_acquisition) {
  LeaseView view = MakeHolder(At(3, 7), kStart);
  cr_expect(view.CurrentEpoch() == EpochAt(At(3, 7)));
  const Time later = kStart + kDuration / 2;
  cr_expect(view.ShouldRenew(later));
  view.RecordOwnWrite(view.NextRow(), At(3, 12), later);
  cr_expect(view.CurrentEpoch() == EpochAt(At(3, 7)));
  cr_expect(view.MayAct(later + kDuration / 2));
}

// Guards against a take-over beside a holder whose row the restore lost.
Test(lease, a_restored_store_delays_a_take_over_by_any_path) {
  LeaseRow released;
  released.era = StoreEra(1);
  const std::optional<LeaseRow> leftovers[] = {std::nullopt, MakeRow("b", 1),
                                               MakeRow("c", 1), released};
  for (const auto& leftover : leftovers) {
    LeaseView view(NodeId("c"), kDuration);
    view.Observe(MakeRow("a", 1), At(1, 50), kStart);
    const Time seen = kStart + 10 * kTakeover;
    cr_expect(view.MayAcquire(seen));
    view.Observe(leftover, At(2, leftover ? 9 : 0), seen);
    cr_expect_not(view.IsReleased());
    cr_expect_not(view.IsHeldByPredecessor());
    cr_expect_not(view.MayAcquire(seen + kTakeover - Milliseconds(1)));
    cr_expect(view.MayAcquire(seen + kTakeover));
  }
}

// Guards against a fresh process that takes a lost lease beside its holder.
Test(lease, a_fresh_process_waits_before_it_takes_an_absent_lease) {
  LeaseView view(NodeId("a"), kDuration);
  view.Observe(std::nullopt, At(2, 0), kStart);
  cr_expect_not(view.MayAcquire(kStart));
  cr_expect(view.MayAcquire(kStart + kTakeover));
  LeaseView without_restores(NodeId("a"), kDuration);
  without_restores.Observe(std::nullopt, At(0, 0), kStart);
  cr_expect(without_restores.MayAcquire(kStart));
}

// Guards against a holder that loses its lease with the store's latest rows.
Test(lease, the_holder_takes_its_lease_again_at_once_after_a_restore) {
  LeaseView view = MakeHolder(At(1, 50), kStart);
  const Time seen = kStart + kDuration / 10;
  view.Observe(MakeRow("b", 1), At(2, 9), seen);
  cr_expect(view.MayAct(seen));
  cr_expect(view.CurrentEpoch() == EpochAt(At(1, 50)));
  cr_expect(view.ShouldRenew(seen));
  const LeaseRow next = view.NextRow();
  cr_expect(next.era == StoreEra(2));
  view.RecordOwnWrite(next, At(2, 11), seen);
  cr_expect(view.CurrentEpoch() == EpochAt(At(2, 11)));
  LeaseView late = MakeHolder(At(1, 50), kStart);
  late.Observe(std::nullopt, At(2, 0), kStart + kDuration);
  cr_expect_not(late.ShouldRenew(kStart + kDuration));
}

// Guards against a holder that counts as a new one after a restore, and a new
// one that counts as the former.
Test(lease, a_hold_goes_on_across_restores_and_ends_with_the_lease) {
  LeaseView view = MakeHolder(At(1, 50), kStart);
  const Epoch first = EpochAt(At(1, 50));
  cr_expect(view.FirstEpochOfHold() == first);
  const Time retaken = kStart + kDuration / 2;
  view.Observe(MakeRow("b", 1), At(2, 9), retaken);
  view.RecordOwnWrite(view.NextRow(), At(2, 11), retaken);
  cr_expect(view.CurrentEpoch() == EpochAt(At(2, 11)));
  cr_expect(view.FirstEpochOfHold() == first);
  const Time lapsed = retaken + kDuration;
  view.Observe(MakeRow("b", 1), At(3, 9), lapsed);
  view.RecordOwnWrite(view.NextRow(), At(3, 12), lapsed);
  cr_expect(view.FirstEpochOfHold() == EpochAt(At(3, 12)));
  view.Observe(MakeRow("b", 3), At(3, 20), lapsed);
  view.RecordOwnWrite(view.NextRow(), At(3, 21), lapsed);
  cr_expect(view.FirstEpochOfHold() == EpochAt(At(3, 21)));
}

// Guards against a holder that goes on after another one took the lease.
Test(lease, a_row_of_the_current_era_ends_the_hold) {
  LeaseView view = MakeHolder(At(1, 50), kStart);
  view.Observe(MakeRow("b", 2), At(2, 9), kStart);
  cr_expect_not(view.MayAct(kStart));
  cr_expect(view.CurrentEpoch() == EpochAt(At(2, 9)));
}

// Guards against a write of the last era that is believed in the next one.
Test(lease, a_leftover_row_is_never_an_own_write) {
  LeaseView view(NodeId("a"), kDuration);
  view.Observe(std::nullopt, At(1, 0), kStart);
  const LeaseRow row = view.NextRow();
  view.RecordSent(row, kStart);
  view.RecordOwnWrite(row, At(2, 9), kStart);
  cr_expect_not(view.MayAct(kStart));
  view.Observe(row, At(2, 9), kStart);
  cr_expect_not(view.MayAct(kStart));
  cr_expect_not(view.MayAcquire(kStart));
  cr_expect(view.Position() == At(2, 9));
}

// Guards against a late write of an earlier process that passes for an own one.
Test(lease, a_row_of_an_earlier_process_is_not_an_own_write) {
  LeaseView before(NodeId("a"), kDuration, 1);
  LeaseView after(NodeId("a"), kDuration, 2);
  before.Observe(std::nullopt, At(1, 0), kStart);
  after.Observe(std::nullopt, At(1, 0), kStart);
  after.RecordSent(after.NextRow(), kStart);
  after.Observe(before.NextRow(), At(1, 4), kStart);
  cr_expect_not(after.MayAct(kStart));
  cr_expect(after.IsHeldByPredecessor());
}

// Guards against a lease that is lost with the response to its write, and
// against an epoch other than the position at which that write took effect.
Test(lease, a_write_with_a_lost_response_counts_from_when_it_was_first_sent) {
  LeaseView view(NodeId("a"), kDuration);
  view.Observe(std::nullopt, At(1, 0), kStart);
  const LeaseRow row = view.NextRow();
  view.RecordSent(row, kStart);
  view.RecordSent(row, kStart + kDuration / 2);
  view.RecordRefused(kStart + kDuration / 2);
  view.Observe(row, At(1, 4), kStart + kDuration / 2);
  cr_expect(view.MayAct(kStart + kDuration / 2));
  cr_expect_not(view.MayAct(kStart + kDuration));
  cr_expect(view.CurrentEpoch() == EpochAt(At(1, 4)));
}

// Guards against a take-over beside a fleet that still writes the first format.
Test(lease, a_row_without_an_era_is_a_leftover) {
  const auto row = DecodeLease(R"({"holder":"a","epoch":4,"renewal":9})");
  cr_assert(row.has_value());
  cr_expect(*row == (LeaseRow{NodeId("a"), Epoch(4), 9}));
  LeaseView view(NodeId("a"), kDuration);
  view.Observe(row, At(1, 17), kStart);
  cr_expect_not(view.IsHeldByPredecessor());
  cr_expect_not(view.MayAcquire(kStart));
  cr_expect(EpochOf(*row, At(1, 17)) == Epoch(4));
  cr_expect_not(EpochOf(MakeRow("a", 1), At(2, 17)).has_value());
  const LeaseRow full = MakeRow("b", 3);
  cr_expect(DecodeLease(EncodeLease(full)) == full);
}
