#include "transport/connection_limit.h"

#include <sys/resource.h>

#include <algorithm>

#include "cowslipknot/events.h"
#include "transport/event_loop.h"

namespace cowslipknot {
namespace {

/// Parts of the descriptors. A request on a caller's connection needs one to a
/// server, so that both have the same part.
constexpr std::size_t kParts = 32;
constexpr std::size_t kCallerParts = 13;
constexpr std::size_t kServerParts = 13;
constexpr std::size_t kPeerParts = 2;

constexpr Milliseconds kRetryDelay(20);
/// A connection whose last request ended just now is likely to bring the next.
constexpr Milliseconds kMinIdle(250);

/// Takes the connections that the operating system has already accepted.
void AcceptQueued(tcp::acceptor& acceptor, ConnectionLimit& limit,
                  const ConnectionHandler& serve) {
  error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, error);
    if (!error) serve(std::move(socket), limit.Open());
  }
  if (error != asio::error::would_block)
    limit.Record(LimitAction::kAcceptFailed, error.message());
}

/// Closes idle connections until the limit holds again, or waits.
Awaitable<void> ReturnBelowLimit(std::shared_ptr<tcp::acceptor> acceptor,
                                 std::shared_ptr<ConnectionLimit> limit,
                                 std::shared_ptr<ConnectionSet> idle) {
  while (limit->Exceeded() && acceptor->is_open()) {
    const bool closes = idle->CancelLongest(kMinIdle);
    limit->Record(
        closes ? LimitAction::kIdleClosed : LimitAction::kAcceptPaused, "");
    co_await limit->WaitForEnd(kRetryDelay);
  }
}

}  // namespace

ConnectionShares DivideDescriptors(std::size_t descriptors) {
  const std::size_t part = std::max<std::size_t>(descriptors / kParts, 1);
  return {part * kCallerParts, part * kServerParts, part * kPeerParts};
}

std::size_t AvailableDescriptors(std::size_t configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  return std::min<std::size_t>(configured, limit.rlim_cur);
}

std::string_view Describe(LimitAction action) {
  switch (action) {
    case LimitAction::kIdleClosed:
      return "idle_closed";
    case LimitAction::kAcceptPaused:
      return "accept_paused";
    case LimitAction::kAcceptFailed:
      return "accept_failed";
  }
  return "";
}

ConnectionLimit::Slot::Slot(std::shared_ptr<ConnectionLimit> limit)
    : m_limit(std::move(limit)) {
  ++m_limit->m_open;
}

ConnectionLimit::Slot::~Slot() {
  if (!m_limit) return;
  --m_limit->m_open;
  if (const auto waiting = m_limit->m_waiting.lock()) waiting->cancel();
}

Awaitable<void> ConnectionLimit::WaitForEnd(Milliseconds timeout) {
  const auto self = shared_from_this();
  const auto executor = co_await asio::this_coro::executor;
  const auto timer = std::make_shared<asio::steady_timer>(executor, timeout);
  m_waiting = timer;
  co_await timer->async_wait(kAsTuple);
}

void ConnectionLimit::Record(LimitAction action, const std::string& detail) {
  if (m_observer) m_observer(action);
  const auto held_back = m_logs[action].Admit(std::chrono::steady_clock::now());
  if (!held_back) return;
  const bool failed = action == LimitAction::kAcceptFailed;
  LogEvent(failed ? Event::kAcceptFailed : Event::kConnectionLimitReached,
           {{"listener", m_listener},
            {"action", std::string(Describe(action))},
            {"open", std::to_string(m_open)},
            {"detail", detail},
            {"lines_held_back", std::to_string(*held_back)}});
}

Awaitable<void> AcceptConnections(std::shared_ptr<tcp::acceptor> acceptor,
                                  std::shared_ptr<ConnectionLimit> limit,
                                  std::shared_ptr<ConnectionSet> idle,
                                  ConnectionHandler serve) {
  limit->SetCloseHandler([acceptor, weak = std::weak_ptr(limit), serve] {
    const auto held = weak.lock();
    try {
      if (held && acceptor->is_open()) AcceptQueued(*acceptor, *held, serve);
    } catch (...) {
      RecordTaskFailure("close listener", std::current_exception());
    }
    error_code ignored;
    acceptor->close(ignored);
  });
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) break;
    if (error) {
      limit->Record(LimitAction::kAcceptFailed, error.message());
      idle->CancelLongest(kMinIdle);
      co_await limit->WaitForEnd(kRetryDelay);
      continue;
    }
    serve(std::move(socket), limit->Open());
    co_await ReturnBelowLimit(acceptor, limit, idle);
  }
  limit->SetCloseHandler(nullptr);
}

}  // namespace cowslipknot
