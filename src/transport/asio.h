#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// Names used with Boost.Asio coroutines throughout the transport layer.
namespace cowslipknot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

template <class T>
using Awaitable = asio::awaitable<T>;

/// Completion token that yields a tuple whose first element is the error code,
/// instead of throwing.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Runs a coroutine on another executor and resumes here with its value.
template <class T>
Awaitable<T> RunOn(asio::any_io_executor executor, Awaitable<T> task) {
  co_return co_await asio::co_spawn(executor, std::move(task),
                                    asio::use_awaitable);
}

/// Waits for a duration on the current executor.
inline Awaitable<void> SleepFor(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kAsTuple);
}

}  // namespace cowslipknot
