// A token bucket: at most so many calls a second, with one second's worth at once.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>

namespace ladderstream::store {

/// Thread-safe.
class RateLimiter {
 public:
  explicit RateLimiter(double calls_per_second)
      : rate_(calls_per_second), tokens_(std::max(1.0, calls_per_second)), last_(absl::Now()) {}

  /// Whether a call may be made now; counts it when so.
  bool TryTake() {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = absl::Now();
    const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - last_));
    last_ = now;
    tokens_ = std::min(std::max(1.0, rate_), tokens_ + elapsed * rate_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  const double rate_;
  absl::Mutex mutex_;
  double tokens_ ABSL_GUARDED_BY(mutex_);
  absl::Time last_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::store
