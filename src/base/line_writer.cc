#include "base/line_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>

namespace cowslipknot {
namespace {

/// A pipe that polls as writable accepts this many bytes without blocking, and
/// writes them in one piece.
constexpr std::size_t kMaxLineBytes = 4096;

/// Whether the descriptor is of a kind, such as S_IFIFO.
bool IsOfKind(int descriptor, mode_t kind) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == kind;
}

/// Opens a pipe or terminal again without blocking. The given descriptor's own
/// mode is shared with other processes.
int WithoutBlocking(int descriptor) {
  if (!IsOfKind(descriptor, S_IFIFO) && ::isatty(descriptor) == 0) {
    return descriptor;
  }
  const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
  const int opened =
      ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
  return opened == -1 ? descriptor : opened;
}

}  // namespace

LineWriter::LineWriter(int descriptor)
    : m_descriptor(WithoutBlocking(descriptor)),
      m_socket(IsOfKind(descriptor, S_IFSOCK)) {}

std::size_t LineWriter::WriteSome(const std::string& text) const {
  pollfd pfd{m_descriptor, POLLOUT, 0};
  if (::poll(&pfd, 1, 0) != 1 || (pfd.revents & POLLOUT) == 0) return 0;
  const ssize_t written = m_socket
                              ? ::send(m_descriptor, text.data(), text.size(),
                                       MSG_DONTWAIT | MSG_NOSIGNAL)
                              : ::write(m_descriptor, text.data(), text.size());
  return written < 0 ? 0 : static_cast<std::size_t>(written);
}

bool LineWriter::Write(const std::string& line) {
  if (!m_rest.empty()) m_rest.erase(0, WriteSome(m_rest));
  if (!m_rest.empty()) return false;
  const std::string text = line.substr(0, kMaxLineBytes - 1) + "\n";
  const std::size_t written = WriteSome(text);
  if (written > 0) m_rest = text.substr(written);
  return written > 0;
}

}  // namespace cowslipknot
