// The clock that every promise of time rests on: CLOCK_BOOTTIME.
//
// It is never set and never stepped, and unlike CLOCK_MONOTONIC it goes on while the machine is
// suspended. A node that slept for five seconds has no lease any more, however little time its
// processor has seen.
#pragma once

#include <absl/time/time.h>
#include <time.h>

#include <chrono>

#include "wire/time.h"

namespace ladderstream {

/// As the standard library's clocks are, for timers. Thread-safe.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  static constexpr clockid_t kClock = CLOCK_BOOTTIME;

  static time_point now() noexcept {
    timespec reading{};
    clock_gettime(kClock, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

/// The time since the machine was started, as a time after the epoch. Thread-safe.
inline Time BootTimeNow() {
  return absl::UnixEpoch() + absl::FromChrono(BootClock::now().time_since_epoch());
}

/// Reads the boot clock.
class BootTimeSource : public TimeSource {
 public:
  Time Now() const override { return BootTimeNow(); }
};

}  // namespace ladderstream
