#include "serve/gateway.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cowslipknot/events.h"
#include "serve/gateway_control.h"
#include "serve/refusal.h"
#include "transport/endpoint.h"

namespace cowslipknot::gateway {
namespace {

constexpr int kExitListenFailed = 3;
/// After SIGTERM, until the balancer has noticed and sends no new connections.
constexpr Milliseconds kBalancerNotice(2600);
constexpr Milliseconds kDrainPoll(50);
/// Kept of the time to stop, for the last report to the store.
constexpr Milliseconds kStopMargin(1000);
constexpr Milliseconds kReadTimeoutMargin(2000);

class Instance {
 public:
  Instance(const Settings& settings, std::string path,
           const DialectFactory& make_dialect)
      : m_settings(settings),
        m_path(std::move(path)),
        m_dialect(make_dialect(m_context.get_executor(), settings)),
        m_worker(settings, *m_dialect),
        m_control(settings, *m_dialect, m_worker, m_context),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {}

  Result<void> Open() {
    auto callers = Listen(m_worker.Context(), m_settings.callers);
    if (!callers) return tl::make_unexpected(callers.error());
    m_callers = std::make_shared<tcp::acceptor>(std::move(*callers));
    auto readiness = Listen(m_context, m_settings.readiness);
    if (!readiness) return tl::make_unexpected(readiness.error());
    m_readiness = std::make_shared<tcp::acceptor>(std::move(*readiness));
    auto metrics = Listen(m_context, m_settings.metrics);
    if (!metrics) return tl::make_unexpected(metrics.error());
    m_metrics = std::make_shared<tcp::acceptor>(std::move(*metrics));
    if (m_settings.peers) {
      auto peers = Listen(m_worker.Context(), *m_settings.peers);
      if (!peers) return tl::make_unexpected(peers.error());
      m_peers = std::make_shared<tcp::acceptor>(std::move(*peers));
    }
    return {};
  }

  int Run() {
    StartListeners();
    m_control.Start();
    asio::co_spawn(m_context, AwaitSignals(), asio::detached);
    LogEvent(Event::kStarted,
             {{"callers", FormatEndpoint(m_settings.callers)}});
    std::thread traffic([this] {
      const auto guard = asio::make_work_guard(m_worker.Context());
      m_worker.Context().run();
    });
    m_context.run();
    m_worker.Context().stop();
    traffic.join();
    LogEvent(Event::kStopped);
    return 0;
  }

 private:
  HttpServerLimits CallerLimitsNow() const {
    HttpServerLimits limits;
    const auto snapshot = m_worker.GetSnapshot();
    const CallerLimits bounds = snapshot->configuration
                                    ? snapshot->configuration->limits
                                    : CallerLimits();
    limits.header = bounds.header;
    limits.body = bounds.body;
    limits.idle = bounds.idle_timeout;
    limits.read = bounds.header_timeout + kReadTimeoutMargin;
    return limits;
  }

  void StartListeners() {
    HttpServerHooks callers;
    callers.handle = [this](HttpExchange& exchange) {
      return HandleCaller(m_worker, exchange);
    };
    callers.refuse = [](ResultCode code) {
      return RefusalOf(Error{code}, Milliseconds(0));
    };
    callers.closing = [this] { return m_stopping.load(); };
    callers.ending = [this] { return m_ending.load(); };
    callers.limits = [this] { return CallerLimitsNow(); };
    callers.idle = m_worker.IdlePtr();
    asio::co_spawn(m_worker.Context(),
                   ServeHttp(m_callers, HttpServerLimits(), callers),
                   asio::detached);
    if (m_peers) {
      asio::co_spawn(m_worker.Context(), m_worker.Links().Serve(m_peers),
                     asio::detached);
    }
    HttpServerHooks readiness;
    readiness.handle = [this](HttpExchange& exchange) {
      return AnswerReadiness(exchange);
    };
    asio::co_spawn(m_context,
                   ServeHttp(m_readiness, HttpServerLimits(), readiness),
                   asio::detached);
    HttpServerHooks metrics;
    metrics.handle = [this](HttpExchange& exchange) {
      return AnswerMetrics(exchange);
    };
    asio::co_spawn(m_context, ServeHttp(m_metrics, HttpServerLimits(), metrics),
                   asio::detached);
  }

  Awaitable<void> AnswerReadiness(HttpExchange& exchange) {
    const bool ready = !m_stopping && m_control.Ready();
    if (ready != m_was_ready) {
      LogEvent(ready ? Event::kReady : Event::kDraining);
      m_was_ready = ready;
    }
    HttpResponse response(
        ready ? http::status::ok : http::status::service_unavailable, 11);
    co_await exchange.Respond(std::move(response));
  }

  Awaitable<void> AnswerMetrics(HttpExchange& exchange) {
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = co_await m_control.RenderMetrics();
    co_await exchange.Respond(std::move(response));
  }

  Awaitable<void> AwaitSignals() {
    while (!m_stopping) {
      auto [error, signal] = co_await m_signals.async_wait(kAsTuple);
      if (error) co_return;
      if (signal == SIGHUP) {
        CheckSettings();
      } else {
        m_stopping = true;
        asio::co_spawn(m_context, Stop(), asio::detached);
      }
    }
  }

  /// Reads the settings file again. Addresses hold for the life of the
  /// process, so a valid file only takes effect at the next start.
  void CheckSettings() {
    std::ifstream file(m_path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    const auto settings = ParseSettings(text.str(), m_path);
    if (settings) {
      LogEvent(Event::kSettingsReloaded, {{"file", m_path}});
      return;
    }
    for (const auto& problem : settings.error()) {
      LogEvent(Event::kSettingsRejected, {{"detail", FormatProblem(problem)}});
    }
  }

  Awaitable<void> Stop() {
    const auto started = SteadyClock::now();
    LogEvent(Event::kDraining);
    const Milliseconds patience = m_settings.stop - kStopMargin;
    co_await SleepFor(std::min(kBalancerNotice, patience));
    auto close_idle = [this]() -> Awaitable<bool> {
      m_worker.Idle().CloseAll();
      co_return m_worker.InFlight() > 0 || m_worker.Idle().Count() > 0;
    };
    m_ending = true;
    asio::post(m_worker.Context(),
               [acceptor = m_callers] { acceptor->close(); });
    while (Since(started) < patience) {
      if (!co_await RunOn(m_worker.Context().get_executor(), close_idle())) {
        break;
      }
      co_await SleepFor(kDrainPoll);
    }
    co_await m_control.Leave();
    m_context.stop();
  }

  const Settings& m_settings;
  std::string m_path;
  asio::io_context m_context{1};
  std::shared_ptr<const Dialect> m_dialect;
  Worker m_worker;
  Control m_control;
  asio::signal_set m_signals;
  std::shared_ptr<tcp::acceptor> m_callers;
  std::shared_ptr<tcp::acceptor> m_readiness;
  std::shared_ptr<tcp::acceptor> m_metrics;
  std::shared_ptr<tcp::acceptor> m_peers;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_ending{false};  ///< idle connections are closed
  bool m_was_ready = false;
};

}  // namespace

int Serve(const Settings& settings, const std::string& path,
          const DialectFactory& make_dialect) {
  StartLog(settings.node.Text(), LogTarget::kStandardOutput);
  Instance instance(settings, path, make_dialect);
  const auto opened = instance.Open();
  if (!opened) {
    std::cerr << opened.error().detail << "\n";
    return kExitListenFailed;
  }
  const int code = instance.Run();
  // Nothing is left to save. Destroying what is still connected, and the
  // logger's threads, can take longer than a stop may.
  std::cout.flush();
  std::quick_exit(code);
}

}  // namespace cowslipknot::gateway
