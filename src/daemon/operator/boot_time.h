// CLOCK_BOOTTIME, on which the authority's moments are read.
#pragma once

#include <absl/time/time.h>
#include <time.h>

#include "wire/time.h"

namespace ladderstream::daemon {

/// Thread-safe.
inline Time BootTimeNow() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return absl::TimeFromTimespec(reading);
}

}  // namespace ladderstream::daemon
