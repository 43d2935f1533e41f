#include "transport/event_loop.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "base/clock.h"
#include "base/line_rate_limiter.h"
#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kFirstRestartDelay(100);
constexpr Milliseconds kMaxRestartDelay(2000);
/// A loop that ran for this long starts again after the first delay.
constexpr Milliseconds kSoundRun(10000);
/// Pause of a thread that fails again and again, or has no memory for a timer.
constexpr Milliseconds kThreadPause(10);
/// Failures of one thread that cause no pause: at once, and a second.
constexpr double kUnpausedFailures = 20;
constexpr double kUnpausedFailuresPerSecond = 100;
/// Log lines of one name: at once, and a second.
constexpr double kLoggedFailures = 5;
constexpr double kLoggedFailuresPerSecond = 1;

/// Counts the failures of each name, and limits their log lines so that they
/// leave the log's rate to other events.
class FailureLog {
 public:
  void Record(Event event, std::string_view name,
              const std::exception_ptr& failure,
              std::string_view without_exception = {}) noexcept {
    try {
      std::uint64_t unlogged = 0;
      {
        const std::scoped_lock lock(m_mutex);
        Entry& entry = m_entries[{event, std::string(name)}];
        ++entry.count;
        if (!entry.limiter.TryAcquire(TimeSinceBoot())) {
          ++entry.unlogged;
          return;
        }
        unlogged = std::exchange(entry.unlogged, 0);
      }
      LogEvent(event, {{"task", std::string(name)},
                       {"detail", failure ? Describe(failure)
                                          : std::string(without_exception)},
                       {"unlogged", std::to_string(unlogged)}});
    } catch (...) {
      // No memory for a log line: the next failure is logged.
    }
  }

  void AddTo(MetricSet& metrics) const {
    const std::scoped_lock lock(m_mutex);
    for (const auto& [key, entry] : m_entries) {
      metrics.Add(MetricName(key.first), FormatLabel("task", key.second),
                  entry.count);
    }
  }

 private:
  struct Entry {
    LineRateLimiter limiter{kLoggedFailuresPerSecond, kLoggedFailures};
    std::uint64_t count = 0;
    std::uint64_t unlogged = 0;
  };

  static std::string MetricName(Event event) {
    if (event == Event::kLoopRestarted)
      return "cowslipknot_loop_restarts_total";
    if (event == Event::kTaskFailed) return "cowslipknot_task_failures_total";
    return "cowslipknot_callback_failures_total";
  }

  static std::string Describe(const std::exception_ptr& failure) {
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
      return exception.what();
    } catch (...) {
      return "unknown exception";
    }
  }

  mutable std::mutex m_mutex;
  std::map<std::pair<Event, std::string>, Entry> m_entries;
};

FailureLog& Failures() {
  // Never destroyed: threads may fail while the process exits.
  static auto* const log = new FailureLog();
  return *log;
}

/// Whether this thread runs an event loop. Coroutines that are destroyed on
/// another thread belong to a context that has ended.
thread_local bool is_event_loop_thread = false;

/// Runs an action that fails only while there is no memory for it.
template <class Action>
void RetryWithoutMemory(Action action) noexcept {
  while (true) {
    try {
      action();
      return;
    } catch (...) {
      std::this_thread::sleep_for(kThreadPause);
    }
  }
}

/// Completion handler of a task. An exception that leaves a handler of the
/// thread destroys the coroutine that waited for it, and with it this object,
/// which is then never called.
class TaskEnd {
 public:
  TaskEnd(asio::any_io_executor executor, std::string_view name,
          std::function<void()> on_failure)
      : m_executor(std::move(executor)),
        m_name(name),
        m_on_failure(std::move(on_failure)) {}
  TaskEnd(TaskEnd&& other) noexcept
      : m_executor(std::move(other.m_executor)),
        m_name(other.m_name),
        m_on_failure(std::exchange(other.m_on_failure, nullptr)) {}
  TaskEnd& operator=(TaskEnd&&) = delete;
  ~TaskEnd() {
    if (!m_on_failure || !is_event_loop_thread) return;
    RetryWithoutMemory([this] { asio::post(m_executor, m_on_failure); });
  }

  void operator()(const std::exception_ptr& failure) {
    const auto on_failure = std::exchange(m_on_failure, nullptr);
    if (!failure) return;
    RecordTaskFailure(m_name, failure);
    if (on_failure) on_failure();
  }

 private:
  asio::any_io_executor m_executor;
  std::string_view m_name;
  std::function<void()> m_on_failure;
};

/// A loop that starts again when its coroutine ends.
class Loop : public std::enable_shared_from_this<Loop> {
 public:
  Loop(asio::any_io_executor executor, std::string_view name, LoopBody body,
       LoopEnded ended)
      : m_executor(std::move(executor)),
        m_name(name),
        m_body(std::move(body)),
        m_ended(std::move(ended)),
        m_pause(m_executor) {}

  void Start() {
    m_started = SteadyClock::now();
    Awaitable<void> run = m_body();
    asio::co_spawn(m_executor, std::move(run), RunEnd(shared_from_this()));
  }

 private:
  /// Completion handler of a run. An exception that leaves a handler of the
  /// thread destroys the coroutine that waited for it, and with it this object,
  /// which is then never called.
  class RunEnd {
   public:
    explicit RunEnd(std::shared_ptr<Loop> loop) : m_loop(std::move(loop)) {}
    RunEnd(RunEnd&&) noexcept = default;
    RunEnd& operator=(RunEnd&&) = delete;
    ~RunEnd() {
      if (m_loop && is_event_loop_thread) m_loop->PostRestart();
    }

    void operator()(const std::exception_ptr& failure) {
      const auto loop = std::move(m_loop);
      loop->Restart(failure, "ended");
    }

   private:
    std::shared_ptr<Loop> m_loop;
  };

  /// Callable on any thread: a coroutine that waits for another thread may be
  /// destroyed there.
  void PostRestart() noexcept {
    RetryWithoutMemory([this] {
      asio::post(m_executor, [self = shared_from_this()] {
        self->Restart(nullptr, "destroyed by an exception in a callback");
      });
    });
  }

  void Restart(const std::exception_ptr& failure,
               std::string_view without_exception) noexcept {
    if (m_ended && m_ended()) {
      if (failure) RecordTaskFailure(m_name, failure);
      return;
    }
    Failures().Record(Event::kLoopRestarted, m_name, failure,
                      without_exception);
    const bool was_sound = SteadyClock::now() - m_started >= kSoundRun;
    const Milliseconds delay = was_sound ? kFirstRestartDelay : m_next_delay;
    m_next_delay = std::min(2 * delay, kMaxRestartDelay);
    RetryWithoutMemory([this, delay] {
      m_pause.expires_after(delay);
      m_pause.async_wait([self = shared_from_this()](error_code error) {
        if (!error) self->TryStart();
      });
    });
  }

  void TryStart() noexcept {
    std::optional<Awaitable<void>> run;
    try {
      m_started = SteadyClock::now();
      run.emplace(m_body());
    } catch (...) {
      Restart(std::current_exception(), {});
      return;
    }
    try {
      asio::co_spawn(m_executor, std::move(*run), RunEnd(shared_from_this()));
    } catch (...) {
      // The destroyed completion handler has posted a restart.
    }
  }

  asio::any_io_executor m_executor;
  std::string_view m_name;
  LoopBody m_body;
  LoopEnded m_ended;
  asio::steady_timer m_pause;
  SteadyClock::time_point m_started;
  Milliseconds m_next_delay = kFirstRestartDelay;
};

}  // namespace

void RunEventLoop(asio::io_context& context, std::string_view name) {
  is_event_loop_thread = true;
  const auto guard = asio::make_work_guard(context);
  LineRateLimiter unpaused(kUnpausedFailuresPerSecond, kUnpausedFailures);
  while (!context.stopped()) {
    try {
      context.run();
    } catch (...) {
      Failures().Record(Event::kCallbackFailed, name, std::current_exception());
      if (!unpaused.TryAcquire(TimeSinceBoot()))
        std::this_thread::sleep_for(kThreadPause);
    }
  }
  is_event_loop_thread = false;
}

void Spawn(const asio::any_io_executor& executor, std::string_view name,
           Awaitable<void> task, std::function<void()> on_failure) {
  asio::co_spawn(executor, std::move(task),
                 TaskEnd(executor, name, std::move(on_failure)));
}

void SpawnLoop(const asio::any_io_executor& executor, std::string_view name,
               LoopBody body, LoopEnded ended) {
  std::make_shared<Loop>(executor, name, std::move(body), std::move(ended))
      ->Start();
}

LoopEnded WhenClosed(std::shared_ptr<tcp::acceptor> acceptor) {
  return [acceptor = std::move(acceptor)] { return !acceptor->is_open(); };
}

void RecordTaskFailure(std::string_view name,
                       const std::exception_ptr& failure) noexcept {
  Failures().Record(Event::kTaskFailed, name, failure);
}

void AddFailureCounts(MetricSet& metrics) { Failures().AddTo(metrics); }

}  // namespace cowslipknot
