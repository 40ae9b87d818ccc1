// Time as the decision library sees it.
#pragma once

#include <absl/time/time.h>

namespace ladderstream {

/// A reading of one process's CLOCK_BOOTTIME, which goes on while the machine sleeps. Readings of
/// two processes are never compared; only durations travel on the wire.
using Time = absl::Time;
using Duration = absl::Duration;

/// Gives the current time. The daemon reads the clock; simulator, replay and tests set it.
class TimeSource {
 public:
  virtual ~TimeSource() = default;

  /// Thread-safe.
  virtual Time Now() const = 0;
};

}  // namespace ladderstream
