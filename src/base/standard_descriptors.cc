#include "base/standard_descriptors.h"

#include <fcntl.h>
#include <unistd.h>

namespace cowslipknot {

void OpenMissingStandardDescriptors() {
  for (int number = STDIN_FILENO; number <= STDERR_FILENO; ++number) {
    if (::fcntl(number, F_GETFD) != -1) continue;
    // The lowest free number is returned, so it is this one.
    ::open("/dev/null", O_RDWR);
  }
}

}  // namespace cowslipknot
