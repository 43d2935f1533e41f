#include "serve/gateway.h"

#include <cstdlib>
#include <iostream>
#include <thread>

#include "cowslipknot/events.h"
#include "serve/error_response.h"
#include "serve/gateway_control_plane.h"
#include "serve/request_admission.h"
#include "serve/server_start.h"
#include "serve/signal_loop.h"
#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_listener.h"

namespace cowslipknot::gateway {
namespace {

/// Time after SIGTERM for the load balancer to see the failing readiness check
/// and stop opening connections.
constexpr Milliseconds kLoadBalancerDrainDelay(2600);
constexpr Milliseconds kDrainPollInterval(50);
/// Part of the stop timeout that is reserved for the final report to the store.
constexpr Milliseconds kFinalReportReserve(1000);
/// Part of that reserve that remains when the final report is given up.
constexpr Milliseconds kExitReserve(100);
/// Part of that reserve in which the requests that were ended are answered.
constexpr Milliseconds kLastAnswerTimeout(200);
constexpr Milliseconds kReadTimeoutMargin(2000);
/// Retry-After of a request for whose body no memory was left.
constexpr Milliseconds kMemoryRetryDelay(500);

/// How long the sender of a request that was not read waits before it repeats
/// the request; zero if it should not.
Milliseconds UnreadRetryDelay(ResultCode code) {
  if (code == ResultCode::kDraining) return kStopRetryDelay;
  if (code == ResultCode::kMemoryExhausted) return kMemoryRetryDelay;
  return Milliseconds(0);
}

class Instance {
 public:
  Instance(const Settings& settings, std::string path,
           const PlatformAdapterFactory& make_adapter)
      : m_settings(settings),
        m_path(std::move(path)),
        m_adapter(make_adapter(m_context.get_executor(), settings)),
        m_worker(settings, *m_adapter),
        m_control(settings, *m_adapter, m_worker, m_context) {}

  Result<void> OpenListeners() {
    auto readiness = Listen(m_context, m_settings.readiness);
    if (!readiness) return tl::make_unexpected(readiness.error());
    m_readiness_acceptor =
        std::make_shared<tcp::acceptor>(std::move(*readiness));
    auto metrics = Listen(m_context, m_settings.metrics);
    if (!metrics) return tl::make_unexpected(metrics.error());
    m_metrics_acceptor = std::make_shared<tcp::acceptor>(std::move(*metrics));
    if (m_settings.peers) {
      auto peers = Listen(m_worker.Context(), *m_settings.peers);
      if (!peers) return tl::make_unexpected(peers.error());
      m_peer_acceptor = std::make_shared<tcp::acceptor>(std::move(*peers));
    }
    // The last one: no caller connects while another listener cannot open.
    auto callers = Listen(m_worker.Context(), m_settings.callers);
    if (!callers) return tl::make_unexpected(callers.error());
    m_caller_acceptor = std::make_shared<tcp::acceptor>(std::move(*callers));
    return {};
  }

  /// Closes those that OpenListeners() opened before it failed.
  void CloseListeners() {
    m_readiness_acceptor.reset();
    m_metrics_acceptor.reset();
    m_peer_acceptor.reset();
  }

  int Run() {
    StartListeners();
    m_control.Start();
    SpawnLoop(m_context.get_executor(), "handle signals",
              [this] { return HandleSignals(MakeSignalHooks()); });
    LogEvent(Event::kStarted,
             {{"callers", FormatEndpoint(m_settings.callers)}});
    std::thread traffic_thread =
        StartThread([this] { RunEventLoop(m_worker.Context(), "traffic"); });
    RunEventLoop(m_context, "control");
    m_worker.Context().stop();
    traffic_thread.join();
    LogEvent(Event::kStopped, {{"reason", m_stop_reason}});
    return 0;
  }

 private:
  HttpServerLimits CurrentCallerLimits() const {
    HttpServerLimits limits;
    const auto snapshot = m_worker.GetSnapshot();
    const CallerLimits configured = snapshot->configuration
                                        ? snapshot->configuration->limits
                                        : CallerLimits();
    limits.max_header_size = configured.header;
    limits.max_body_size = configured.body;
    limits.idle_timeout = configured.idle_timeout;
    limits.read_timeout = configured.header_timeout + kReadTimeoutMargin;
    return limits;
  }

  void StartListeners() {
    HttpServerHooks callers;
    callers.handle = [this](HttpExchange& exchange) {
      return HandleCaller(m_worker, exchange);
    };
    callers.make_error_response = [](const Error& error) {
      return MakeErrorResponse(error, UnreadRetryDelay(error.code));
    };
    callers.close_after_response = [this] { return m_stopping.load(); };
    callers.no_more_requests = [this] { return m_closing_idle.load(); };
    callers.limits = [this] { return CurrentCallerLimits(); };
    callers.idle = m_worker.IdlePtr();
    callers.reading = m_worker.Reading();
    callers.requests_in_progress = m_worker.RequestsInProgress();
    callers.memory = m_worker.Memory();
    callers.connections = m_worker.CallerConnections();
    const auto traffic = m_worker.Context().get_executor();
    StartHttp(traffic, "serve callers", m_caller_acceptor, callers);
    if (m_peer_acceptor) {
      SpawnLoop(
          traffic, "serve peers",
          [this] { return m_worker.Links().Serve(m_peer_acceptor); },
          WhenClosed(m_peer_acceptor));
    }
    HttpServerHooks readiness;
    readiness.memory = m_worker.Memory();
    LimitOperatorConnections(readiness, "readiness");
    readiness.handle = [this](HttpExchange& exchange) {
      return HandleReadiness(exchange);
    };
    StartHttp(m_context.get_executor(), "serve readiness", m_readiness_acceptor,
              readiness);
    HttpServerHooks metrics;
    metrics.memory = m_worker.Memory();
    LimitOperatorConnections(metrics, "metrics");
    metrics.handle = [this](HttpExchange& exchange) {
      return HandleMetrics(exchange);
    };
    StartHttp(m_context.get_executor(), "serve metrics", m_metrics_acceptor,
              metrics);
  }

  Awaitable<void> HandleReadiness(HttpExchange& exchange) {
    const bool ready = !m_stopping && m_control.Ready();
    if (ready != m_logged_ready) {
      LogEvent(ready ? Event::kReady : Event::kDraining);
      m_logged_ready = ready;
    }
    HttpResponse response(
        ready ? http::status::ok : http::status::service_unavailable, 11);
    co_await exchange.Respond(std::move(response));
  }

  Awaitable<void> HandleMetrics(HttpExchange& exchange) {
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = co_await m_control.RenderMetrics();
    co_await exchange.Respond(std::move(response));
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
      if (m_stopping) return false;
      m_stop_reason = signal;
      // If that fails for lack of memory, the next signal is tried.
      Spawn(m_context.get_executor(), "stop", Stop());
      m_stopping = true;
      return true;
    };
    return hooks;
  }

  Awaitable<void> Stop() {
    const auto started = SteadyClock::now();
    // From the start, so that a failure of this task does not prevent the stop.
    Spawn(m_context.get_executor(), "end of stop",
          EndWithoutFinalReport(m_settings.stop_timeout - kExitReserve));
    LogEvent(Event::kDraining, {{"reason", m_stop_reason}});
    const Milliseconds drain_timeout =
        m_settings.stop_timeout - kFinalReportReserve;
    asio::post(m_worker.Context(), [this, end = started + drain_timeout] {
      m_worker.Stop().Begin(end);
    });
    co_await SleepFor(std::min(kLoadBalancerDrainDelay, drain_timeout));
    // Returns whether requests or idle connections remain.
    auto close_idle = [this]() -> Awaitable<bool> {
      m_worker.Idle().CancelAll();
      co_return *m_worker.RequestsInProgress() > 0 ||
          m_worker.Idle().Count() > 0;
    };
    m_closing_idle = true;
    asio::post(m_worker.Context(),
               [this] { m_worker.CallerConnections()->CloseListener(); });
    // A connection that is being accepted at this moment counts from now on.
    co_await SleepFor(kDrainPollInterval);
    bool ended_requests = false;
    while (co_await RunOn(m_worker.Context().get_executor(), close_idle())) {
      const Milliseconds elapsed = ElapsedSince(started);
      if (elapsed >= drain_timeout + kLastAnswerTimeout) break;
      if (elapsed >= drain_timeout && !ended_requests) {
        asio::post(m_worker.Context(), [this] {
          m_worker.Stop().EndRequests();
          m_worker.Reading()->CancelAll();
        });
        ended_requests = true;
      }
      co_await SleepFor(kDrainPollInterval);
    }
    co_await m_control.Leave();
    m_context.stop();
  }

  Awaitable<void> EndWithoutFinalReport(Milliseconds delay) {
    co_await SleepFor(delay);
    LogEvent(Event::kPlatformLost,
             {{"detail", "the final report was not confirmed in time"}});
    m_context.stop();
  }

  const Settings& m_settings;
  std::string m_path;
  asio::io_context m_context{1};
  std::shared_ptr<const PlatformAdapter> m_adapter;
  Worker m_worker;
  ControlPlane m_control;
  std::shared_ptr<tcp::acceptor> m_caller_acceptor;
  std::shared_ptr<tcp::acceptor> m_readiness_acceptor;
  std::shared_ptr<tcp::acceptor> m_metrics_acceptor;
  std::shared_ptr<tcp::acceptor> m_peer_acceptor;
  std::string m_stop_reason;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_closing_idle{false};  ///< Stop() closes idle connections
  bool m_logged_ready = false;
};

}  // namespace

int Serve(const Settings& settings, const std::string& path,
          const PlatformAdapterFactory& make_adapter) {
  StartLog(settings.node.Text(), LogTarget::kStandardOutput);
  Instance instance(settings, path, make_adapter);
  const auto exit_code =
      OpenWhenAvailable([&instance] { return instance.OpenListeners(); },
                        [&instance] { instance.CloseListeners(); }, path);
  if (exit_code) return *exit_code;
  const int code = instance.Run();
  // No state is left to save. Destroying open connections and the logger's
  // threads could exceed the stop timeout, so destructors are skipped.
  std::cout.flush();
  std::quick_exit(code);
}

}  // namespace cowslipknot::gateway
