#include "transport/event_loop.h"

#include <stdexcept>
#include <thread>

#include "base/clock.h"
#include "unit_test.h"

/// Exceptions in callbacks, tasks and loops: the process and its loops go on.
using namespace cowslipknot;

namespace {

constexpr Milliseconds kTestTimeout(5000);

std::uint64_t Count(const std::string& metric, const std::string& task) {
  MetricSet metrics;
  AddFailureCounts(metrics);
  return metrics.Counter(metric, FormatLabel("task", task));
}

Awaitable<void> Fail() {
  throw std::runtime_error("injected");
  co_return;
}

Awaitable<void> Return() { co_return; }

/// Calls a function after a delay.
void After(asio::io_context& context, Milliseconds delay,
           std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(context, delay);
  timer->async_wait(
      [timer, action = std::move(action)](error_code) { action(); });
}

/// Waits for an operation whose callback throws before it completes.
Awaitable<void> FailInCallback(asio::io_context& context) {
  auto initiate = [&context](auto handler) {
    asio::post(context, [handler = std::move(handler)]() mutable {
      const auto destroyed = std::move(handler);
      throw std::bad_alloc();
    });
  };
  return asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
      initiate, asio::use_awaitable);
}

/// Counts its starts and ends in a way that a test chooses.
struct CountedLoop {
  int starts = 0;
  std::vector<SteadyClock::time_point> started_at;
  std::function<Awaitable<void>()> run;

  Awaitable<void> Run() {
    ++starts;
    started_at.push_back(SteadyClock::now());
    Awaitable<void> task = run();
    co_await std::move(task);
  }
};

/// Stops the context once a loop has started a number of times.
Awaitable<void> StopAfterStarts(asio::io_context& context,
                                const CountedLoop& loop, int starts) {
  const auto deadline = SteadyClock::now() + kTestTimeout;
  while (loop.starts < starts && SteadyClock::now() < deadline)
    co_await SleepFor(Milliseconds(5));
  context.stop();
}

}  // namespace

// Guards against a process that ends because a posted function throws.
Test(event_loop, continues_after_an_exception_in_a_posted_function) {
  asio::io_context context{1};
  bool continued = false;
  asio::post(context, [] { throw std::runtime_error("injected"); });
  asio::post(context, [&] { continued = true; });
  After(context, Milliseconds(20), [&] { context.stop(); });
  RunEventLoop(context, "continues");
  cr_assert(continued);
  cr_assert_eq(Count("cowslipknot_callback_failures_total", "continues"), 1);
}

// Guards against a thread that spins on a callback that always fails.
Test(event_loop, pauses_between_failures_in_a_tight_series) {
  asio::io_context context{1};
  std::uint64_t failures = 0;
  std::function<void()> fail = [&] {
    asio::post(context, fail);
    ++failures;
    throw std::runtime_error("injected");
  };
  asio::post(context, fail);
  After(context, Milliseconds(300), [&] { context.stop(); });
  RunEventLoop(context, "pauses");
  cr_assert_gt(failures, 10);
  cr_assert_lt(failures, 100);
}

// Guards against a task that fails without a trace.
Test(event_loop, counts_a_task_that_fails) {
  asio::io_context context{1};
  Spawn(context.get_executor(), "fails", Fail());
  After(context, Milliseconds(20), [&] { context.stop(); });
  RunEventLoop(context, "thread");
  cr_assert_eq(Count("cowslipknot_task_failures_total", "fails"), 1);
}

// Guards against a waiter that is never told that its task is gone.
Test(event_loop, tells_of_a_task_that_fails) {
  asio::io_context context{1};
  int failures = 0;
  Spawn(context.get_executor(), "tells", Fail(), [&] { ++failures; });
  Spawn(context.get_executor(), "succeeds", Return(), [&] { ++failures; });
  Spawn(context.get_executor(), "destroyed", FailInCallback(context),
        [&] { ++failures; });
  After(context, Milliseconds(20), [&] { context.stop(); });
  RunEventLoop(context, "thread");
  cr_assert_eq(failures, 2);
}

// Guards against a loop that is gone for good after an exception.
Test(event_loop, restarts_a_loop_after_an_exception_with_a_growing_delay) {
  asio::io_context context{1};
  CountedLoop loop;
  loop.run = Fail;
  SpawnLoop(context.get_executor(), "throws", [&] { return loop.Run(); });
  Spawn(context.get_executor(), "stop", StopAfterStarts(context, loop, 3));
  RunEventLoop(context, "thread");
  cr_assert_eq(loop.starts, 3);
  cr_assert_geq(Count("cowslipknot_loop_restarts_total", "throws"), 2);
  const auto first = loop.started_at[1] - loop.started_at[0];
  const auto second = loop.started_at[2] - loop.started_at[1];
  cr_assert(first >= Milliseconds(90));
  cr_assert(second >= Milliseconds(190));
}

// Guards against a loop that returns and is gone for good.
Test(event_loop, restarts_a_loop_that_ends_unasked) {
  asio::io_context context{1};
  CountedLoop loop;
  loop.run = Return;
  SpawnLoop(context.get_executor(), "returns", [&] { return loop.Run(); });
  Spawn(context.get_executor(), "stop", StopAfterStarts(context, loop, 2));
  RunEventLoop(context, "thread");
  cr_assert_eq(loop.starts, 2);
}

// Guards against a loop whose coroutine is destroyed because an exception left
// the handler of an operation it waited for, such as the read of a body for
// which no memory is left.
Test(event_loop, restarts_a_loop_whose_operation_fails_with_an_exception) {
  asio::io_context context{1};
  CountedLoop loop;
  loop.run = [&] { return FailInCallback(context); };
  SpawnLoop(context.get_executor(), "destroyed", [&] { return loop.Run(); });
  Spawn(context.get_executor(), "stop", StopAfterStarts(context, loop, 2));
  RunEventLoop(context, "destroys");
  cr_assert_eq(loop.starts, 2);
  cr_assert_geq(Count("cowslipknot_callback_failures_total", "destroys"), 1);
}

// Guards against a loop that comes back although it was told to end.
Test(event_loop, does_not_restart_a_loop_that_may_end) {
  asio::io_context context{1};
  CountedLoop loop;
  bool ended = false;
  loop.run = [&]() -> Awaitable<void> {
    ended = true;
    return SleepFor(Milliseconds(1));
  };
  SpawnLoop(
      context.get_executor(), "ends", [&] { return loop.Run(); },
      [&] { return ended; });
  After(context, Milliseconds(300), [&] { context.stop(); });
  RunEventLoop(context, "thread");
  cr_assert_eq(loop.starts, 1);
  cr_assert_eq(Count("cowslipknot_loop_restarts_total", "ends"), 0);
}

// Guards against a restart in a context that is being destroyed.
Test(event_loop, does_not_restart_a_loop_of_a_context_that_is_destroyed) {
  CountedLoop loop;
  loop.run = [] { return SleepFor(kTestTimeout); };
  {
    asio::io_context context{1};
    SpawnLoop(context.get_executor(), "outlived", [&] { return loop.Run(); });
    After(context, Milliseconds(20), [&] { context.stop(); });
    RunEventLoop(context, "thread");
  }
  cr_assert_eq(loop.starts, 1);
  cr_assert_eq(Count("cowslipknot_loop_restarts_total", "outlived"), 0);
}

// Guards against one thread's failure that ends another thread's loop.
Test(event_loop, restarts_a_loop_that_waited_for_another_thread) {
  asio::io_context context{1};
  asio::io_context other{1};
  CountedLoop loop;
  loop.run = [&] { return FailInCallback(other); };
  SpawnLoop(context.get_executor(), "crosses", [&] { return loop.Run(); });
  Spawn(context.get_executor(), "stop", StopAfterStarts(context, loop, 2));
  std::thread thread([&] { RunEventLoop(other, "other"); });
  RunEventLoop(context, "thread");
  other.stop();
  thread.join();
  cr_assert_eq(loop.starts, 2);
}
