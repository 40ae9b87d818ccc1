// CLOCK_BOOTTIME, the clock that leases are counted on. All processes of one machine read the same
// clock, so a judge may compare the records of several stand-ins.
#pragma once

#include <absl/time/time.h>
#include <time.h>

namespace ladderstream::standin {

/// Gives the time since the machine was started, as an absl::Time after the epoch. Thread-safe.
inline absl::Time BootTimeNow() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return absl::TimeFromTimespec(reading);
}

}  // namespace ladderstream::standin
