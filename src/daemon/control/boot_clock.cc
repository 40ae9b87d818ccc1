#include "daemon/control/boot_clock.h"

#include <absl/time/time.h>

#include <cerrno>
#include <ctime>
#include <system_error>

namespace ladderstream::control {

Time BootClock::Now() const {
  timespec reading{};
  if (::clock_gettime(CLOCK_BOOTTIME, &reading) != 0) {
    throw std::system_error(errno, std::generic_category(), "clock_gettime(CLOCK_BOOTTIME)");
  }
  return absl::TimeFromTimespec(reading);
}

}  // namespace ladderstream::control
