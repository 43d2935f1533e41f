#include "serve/serve.h"

#include <thread>

#include "cowslipknot/events.h"
#include "serve/caller_session.h"
#include "serve/control.h"
#include "serve/operator_api.h"
#include "serve/server_start.h"
#include "serve/signal_loop.h"
#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_listener.h"

namespace cowslipknot {
namespace {

constexpr Milliseconds kDrainPollInterval(50);
constexpr Milliseconds kReadyPollInterval(50);
/// For leaving the cluster after the drain.
constexpr Milliseconds kEndReserve(7000);

/// One running instance: its threads and listeners, and their shutdown.
class Instance {
 public:
  Instance(const Settings& settings, std::string path)
      : m_settings(settings),
        m_path(std::move(path)),
        m_control(settings, m_workers),
        m_operator_api(m_control, [this] { BeginDrain("drain command"); }) {
    for (std::size_t i = 0; i < settings.traffic_threads; ++i) {
      m_workers.push_back(
          std::make_unique<Worker>(settings, i, m_control.Hooks()));
    }
    m_caller_context.workers = &m_workers;
    m_caller_context.draining = [this] { return m_draining.load(); };
    m_caller_context.reclaim_announced = [this] { return m_draining.load(); };
    m_control.SetReclaimHandler([this] { BeginDrain("announced reclaim"); });
  }

  Result<void> OpenListeners() {
    auto operators = Listen(m_control.Context(), m_settings.operators);
    if (!operators) return tl::make_unexpected(operators.error());
    m_operators = std::make_shared<tcp::acceptor>(std::move(*operators));
    auto peers = Listen(m_control.Context(), m_settings.peers);
    if (!peers) return tl::make_unexpected(peers.error());
    m_peers = std::make_shared<tcp::acceptor>(std::move(*peers));
    // The last ones: no caller connects while another listener cannot open.
    for (const auto& worker : m_workers) {
      auto acceptor = Listen(worker->Context(), m_settings.callers);
      if (!acceptor) return tl::make_unexpected(acceptor.error());
      m_caller_acceptors.push_back(
          std::make_shared<tcp::acceptor>(std::move(*acceptor)));
    }
    return {};
  }

  /// Closes those that OpenListeners() opened before it failed.
  void CloseListeners() {
    m_operators.reset();
    m_peers.reset();
    m_caller_acceptors.clear();
  }

  int Run() {
    StartServing();
    std::vector<std::thread> threads;
    for (const auto& worker : m_workers) {
      threads.push_back(StartThread(
          [&worker] { RunEventLoop(worker->Context(), "traffic"); }));
    }
    RunEventLoop(m_control.Context(), "control");
    for (const auto& worker : m_workers) worker->Context().stop();
    for (auto& thread : threads) thread.join();
    LogEvent(Event::kStopped, {{"reason", m_stop_reason}});
    return 0;
  }

 private:
  void StartServing() {
    HttpServerLimits limits;
    limits.max_header_size = m_settings.max_header_size;
    limits.max_body_size = m_settings.max_body_size;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      Worker& worker = *m_workers[i];
      HttpServerHooks hooks;
      hooks.handle = [this, &worker](HttpExchange& exchange) {
        return HandleCaller(worker, m_caller_context, exchange);
      };
      hooks.make_error_response = [](const Error& error) {
        return ErrorResponse(error);
      };
      hooks.close_after_response = [this] { return m_draining.load(); };
      hooks.no_more_requests = [this] { return m_closing_idle.load(); };
      hooks.idle = worker.Idle();
      hooks.requests_in_progress = worker.RequestsInProgress();
      hooks.connections = worker.CallerConnections();
      StartHttp(worker.Executor(), "serve callers", m_caller_acceptors[i],
                hooks, limits);
    }
    HttpServerHooks hooks;
    hooks.handle = [this](HttpExchange& exchange) {
      return m_operator_api.Handle(exchange);
    };
    hooks.make_error_response = [](const Error& error) {
      return ErrorResponse(error);
    };
    LimitOperatorConnections(hooks, "operators");
    const auto control = m_control.Context().get_executor();
    StartHttp(control, "serve operators", m_operators, hooks, limits);
    m_control.Start(m_peers);
    SpawnLoop(control, "handle signals",
              [this] { return HandleSignals(MakeSignalHooks()); });
    Spawn(control, "log when ready", LogWhenReady());
    LogEvent(Event::kStarted,
             {{"callers", FormatEndpoint(m_settings.callers)}});
  }

  Awaitable<void> LogWhenReady() {
    while (!m_control.GetConfigurationManager().Current())
      co_await SleepFor(kReadyPollInterval);
    LogEvent(Event::kReady);
  }

  SignalHooks MakeSignalHooks() {
    SignalHooks hooks;
    hooks.reload = [this] {
      ValidateSettingsFile(m_path, [this](const std::string& text) {
        const auto settings = ParseSettings(text, m_path);
        return settings ? std::vector<ObjectProblem>() : settings.error();
      });
    };
    hooks.stop = [this](const std::string& signal) {
      return BeginDrain(signal);
    };
    return hooks;
  }

  /// Call on the control thread. Further calls have no effect and return false.
  bool BeginDrain(const std::string& reason) {
    if (m_draining) return false;
    m_stop_reason = reason;
    const auto control = m_control.Context().get_executor();
    // If that fails for lack of memory, the next request to stop is tried.
    Spawn(control, "end of drain", EndDrain());
    m_draining = true;
    Spawn(control, "drain", Drain());
    return true;
  }

  /// Ends the process in time, also if the drain fails.
  Awaitable<void> EndDrain() {
    co_await SleepFor(m_settings.drain_timeout + kEndReserve);
    m_control.Context().stop();
  }

  Awaitable<void> Drain() {
    const auto started = SteadyClock::now();
    if (!IsDisabled(m_settings, "drain")) {
      co_await m_control.AnnounceStop();
      // The listeners stay open until the load balancer has seen that the
      // instance is not ready.
      co_await SleepFor(m_settings.drain_grace);
      CloseCallerListeners();
      // A connection that is being accepted at this moment counts from now on.
      co_await SleepFor(kDrainPollInterval);
      m_closing_idle = true;
      const Milliseconds handover_delay =
          m_settings.drain_timeout - m_settings.hand_over_margin;
      while (ElapsedSince(started) < handover_delay &&
             co_await HasOutstandingWork()) {
        co_await SleepFor(kDrainPollInterval);
      }
      co_await m_control.HandOverAll();
      while (ElapsedSince(started) < m_settings.drain_timeout &&
             co_await HasOutstandingWork()) {
        co_await SleepFor(kDrainPollInterval);
      }
    }
    co_await m_control.LeaveCluster();
    m_control.Context().stop();
  }

  /// Closes idle connections and returns whether requests, connections or
  /// writes to the platform remain.
  Awaitable<bool> HasOutstandingWork() {
    bool remains = m_control.HasPendingWrites();
    for (const auto& worker : m_workers) {
      auto close_idle = [](Worker& source) -> Awaitable<bool> {
        source.Idle()->CancelAll();
        co_return *source.RequestsInProgress() > 0 ||
            source.Idle()->Count() > 0;
      };
      if (co_await RunOn(worker->Executor(), close_idle(*worker))) {
        remains = true;
      }
    }
    co_return remains;
  }

  void CloseCallerListeners() {
    for (const auto& worker : m_workers) {
      asio::post(worker->Executor(),
                 [connections = worker->CallerConnections()] {
                   connections->CloseListener();
                 });
    }
  }

  const Settings& m_settings;
  std::string m_path;
  Workers m_workers;
  Control m_control;
  OperatorApi m_operator_api;
  CallerContext m_caller_context;
  std::vector<std::shared_ptr<tcp::acceptor>> m_caller_acceptors;
  std::shared_ptr<tcp::acceptor> m_operators;
  std::shared_ptr<tcp::acceptor> m_peers;
  std::string m_stop_reason;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_closing_idle{false};  ///< Drain() closes idle connections
};

}  // namespace

int Serve(const Settings& settings, const std::string& path) {
  StartLog(settings.node.Text());
  Instance instance(settings, path);
  const auto exit_code =
      OpenWhenAvailable([&instance] { return instance.OpenListeners(); },
                        [&instance] { instance.CloseListeners(); }, path);
  if (exit_code) return *exit_code;
  return instance.Run();
}

}  // namespace cowslipknot
