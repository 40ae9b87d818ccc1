// Finds out that the machine was suspended: two clocks that differ by the time asleep.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <chrono>

#include "wire/boot_clock.h"

namespace ladderstream::gateway {

/// Of one thread.
class SuspensionWatch {
 public:
  /// How long the machine was suspended since the last call; zero when it was not.
  Duration Check() {
    const auto awake = std::chrono::steady_clock::now().time_since_epoch();
    return OnReadings(BootTimeNow(), absl::FromChrono(awake));
  }

  /// The same from a reading of CLOCK_BOOTTIME and one of CLOCK_MONOTONIC.
  Duration OnReadings(Time now, Duration awake) {
    const Duration ahead = now - absl::UnixEpoch() - awake;
    const Duration asleep = known_ ? ahead - ahead_ : absl::ZeroDuration();
    if (known_ && absl::AbsDuration(asleep) < kShortest) {
      return absl::ZeroDuration();
    }
    known_ = true;
    ahead_ = ahead;
    return std::max(asleep, absl::ZeroDuration());
  }

 private:
  /// Less may lie between the two readings of a process that waits for its turn.
  static constexpr Duration kShortest = absl::Milliseconds(100);

  bool known_ = false;
  Duration ahead_;
};

}  // namespace ladderstream::gateway
