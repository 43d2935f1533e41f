#include "base/memory_budget.h"

#include <rapidcheck.h>

#include <array>
#include <thread>

#include "unit_test.h"

using namespace cowslipknot;

namespace {

constexpr std::uint64_t kOrdinary = MemoryReservation::kOrdinaryBytes;
constexpr std::uint64_t kLimit = 100'000;

std::shared_ptr<MemoryBudget> MakeBudget() {
  return std::make_shared<MemoryBudget>(ByteCount(kLimit));
}

}  // namespace

Test(memory_budget, a_buffer_beyond_the_budget_is_refused_and_keeps_its_part) {
  const auto budget = MakeBudget();
  MemoryReservation first(budget);
  MemoryReservation second(budget);
  cr_expect(first.Resize(kOrdinary + kLimit - 1));
  cr_expect_not(second.Resize(kOrdinary + 2));
  cr_expect(second.Resize(kOrdinary + 1));
  cr_expect_not(first.Resize(kOrdinary + kLimit));
  cr_expect_eq(budget->Used().Count(), kLimit);
}

Test(memory_budget, ordinary_buffers_are_never_refused) {
  const auto budget = MakeBudget();
  MemoryReservation large(budget);
  cr_expect(large.Resize(kOrdinary + kLimit));
  MemoryReservation ordinary(budget);
  cr_expect(ordinary.Resize(kOrdinary));
}

Test(memory_budget, what_is_reserved_is_returned_and_stays_within_the_limit) {
  rc::check([] {
    const auto budget = MakeBudget();
    {
      std::array<MemoryReservation, 4> buffers = {
          MemoryReservation(budget), MemoryReservation(budget),
          MemoryReservation(budget), MemoryReservation(budget)};
      const auto steps = *rc::gen::inRange(0, 40);
      for (int step = 0; step < steps; ++step) {
        const auto buffer = *rc::gen::inRange<std::size_t>(0, buffers.size());
        buffers.at(buffer).Resize(
            *rc::gen::inRange<std::uint64_t>(0, 2 * kLimit));
        RC_ASSERT(budget->Used().Count() <= kLimit);
      }
    }
    RC_ASSERT(budget->Used().Count() == 0u);
  });
}

Test(memory_budget, threads_do_not_exceed_the_limit_together) {
  MemoryBudget budget{ByteCount(1000)};
  std::atomic<int> taken{0};
  std::array<std::thread, 4> threads;
  for (auto& thread : threads) {
    thread = std::thread([&] {
      for (int turn = 0; turn < 1000; ++turn) {
        if (budget.TryTake(1)) ++taken;
      }
    });
  }
  for (auto& thread : threads) thread.join();
  cr_expect_eq(taken.load(), 1000);
  cr_expect_eq(budget.Used().Count(), 1000u);
}
