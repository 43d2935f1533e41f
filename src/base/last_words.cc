#include "base/last_words.h"

#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <system_error>

#include "cowslipknot/events.h"

namespace cowslipknot {
namespace {

constexpr int kCrashSignals[] = {SIGSEGV, SIGBUS, SIGILL,  SIGFPE,
                                 SIGABRT, SIGSYS, SIGTRAP, SIGQUIT};
constexpr std::size_t kMaxNodeBytes = 128;
constexpr std::size_t kMaxDetailBytes = 512;
constexpr std::size_t kAlternateStackBytes = 65536;

std::array<char, kMaxNodeBytes> g_node;
std::atomic<std::size_t> g_node_size{0};
std::atomic<int> g_descriptor{STDERR_FILENO};
std::atomic<bool> g_written{false};
std::array<char, kAlternateStackBytes> g_stack;

/// A line that is built without allocations.
class LineBuffer {
 public:
  void Append(std::string_view text) {
    for (const char c : text) {
      if (m_size < m_text.size()) m_text[m_size++] = c;
    }
  }

  void Append(std::int64_t number) {
    std::array<char, 20> digits{};
    std::size_t begin = digits.size();
    do {
      digits[--begin] = static_cast<char>('0' + number % 10);
      number /= 10;
    } while (number > 0 && begin > 0);
    Append(std::string_view(&digits[begin], digits.size() - begin));
  }

  /// Replaces what JSON would need to escape.
  void AppendQuoted(std::string_view text) {
    Append("\"");
    for (const char c : text) {
      const bool plain = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
      Append(std::string_view(plain ? &c : "?", 1));
    }
    Append("\"");
  }

  void WriteTo(int descriptor) const {
    pollfd pfd{descriptor, POLLOUT, 0};
    if (::poll(&pfd, 1, 0) != 1 || (pfd.revents & POLLOUT) == 0) return;
    [[maybe_unused]] const ssize_t written =
        ::write(descriptor, m_text.data(), m_size);
  }

 private:
  std::array<char, 1024> m_text{};
  std::size_t m_size = 0;
};

void HandleCrash(int number) {
  const char* const name = sigabbrev_np(number);
  std::array<char, 16> text{"SIG"};
  if (name != nullptr) ::strncat(text.data(), name, text.size() - 4);
  const int saved = errno;
  WriteUnexpectedEnd("signal", text.data());
  errno = saved;
  std::signal(number, SIG_DFL);
  std::raise(number);  // takes effect when the handler returns
}

[[noreturn]] void HandleTerminate() {
  if (const auto current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& error) {
      WriteUnexpectedEnd("detail", error.what());
      if (ExceptionExitCode(error) == kExitNoThread) ::_exit(kExitNoThread);
    } catch (...) {
      WriteUnexpectedEnd("detail", "an exception of an unknown type");
    }
  }
  WriteUnexpectedEnd("detail", "std::terminate");
  std::abort();
}

}  // namespace

void SetLastWords(int descriptor, const std::string& node) {
  const std::size_t size = std::min(node.size(), g_node.size());
  g_node_size = 0;
  std::copy_n(node.begin(), size, g_node.begin());
  g_node_size = size;
  g_descriptor = descriptor;
}

int ExceptionExitCode(const std::exception& error) {
  const auto* const failure = dynamic_cast<const std::system_error*>(&error);
  const bool no_thread =
      failure != nullptr &&
      failure->code() == std::errc::resource_unavailable_try_again;
  return no_thread ? kExitNoThread : kExitException;
}

void InstallLastWords(int descriptor) {
  g_descriptor = descriptor;
  // The stack that has overflowed cannot run a handler.
  stack_t stack{};
  stack.ss_sp = g_stack.data();
  stack.ss_size = g_stack.size();
  ::sigaltstack(&stack, nullptr);
  sigset_t unblocked;
  sigemptyset(&unblocked);
  struct sigaction action {};
  action.sa_handler = HandleCrash;
  action.sa_flags = SA_ONSTACK;
  for (const int number : kCrashSignals) {
    struct sigaction current {};
    ::sigaction(number, nullptr, &current);
    // A sanitizer may have installed a handler of its own.
    // Whether SIGQUIT ends a process is the parent's to say.
    const bool is_default =
        current.sa_handler == SIG_DFL ||
        (current.sa_handler == SIG_IGN && number != SIGQUIT);
    if (is_default) ::sigaction(number, &action, nullptr);
    sigaddset(&unblocked, number);
  }
  // The mask may be inherited from the parent process.
  pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
  std::set_terminate(HandleTerminate);
}

void WriteUnexpectedEnd(std::string_view key, std::string_view value) {
  if (g_written.exchange(true)) return;
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  LineBuffer line;
  line.Append("{\"time_ms\":");
  line.Append(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000);
  line.Append(",\"level\":\"error\",\"event\":");
  line.Append(static_cast<std::int64_t>(Event::kUnexpectedEnd));
  line.Append(",\"name\":\"unexpected_end\",\"node\":");
  line.AppendQuoted(std::string_view(g_node.data(), g_node_size));
  line.Append(",\"");
  line.Append(key);
  line.Append("\":");
  line.AppendQuoted(value.substr(0, kMaxDetailBytes));
  line.Append("}\n");
  line.WriteTo(g_descriptor);
}

}  // namespace cowslipknot
