// What one node saw of one back end on real requests, and whether that makes it suspect.
//
// Health endpoints lag and mislead, so nothing here comes from them. Time is brought by the caller.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>

#include "wire/time.h"

namespace ladderstream::health {

struct HealthSettings {
  /// This many failures in a row make a back end suspect.
  uint32_t consecutive_failures = 5;
  /// So does this share of failures among the recent requests, when there were enough of them.
  double failure_share = 0.5;
  double min_recent_requests = 20;
  /// Weight of one request in the running averages.
  double smoothing = 0.05;
  /// A suspect back end is left alone for this long, doubled each time it fails again.
  Duration first_ejection = absl::Seconds(1);
  Duration max_ejection = absl::Seconds(30);
};

/// Thread-safe.
class BackendHealth {
 public:
  explicit BackendHealth(const HealthSettings& settings = {}) : settings_(settings) {}

  void RecordSuccess(Duration latency, Time now);
  void RecordFailure(Time now);

  /// Whether it should get no new request now. After an ejection it counts as well again, and the
  /// next failure ejects it for longer.
  bool IsSuspect(Time now) const;

  /// Smoothed latency of answered requests; zero when none was answered yet.
  Duration Latency() const;

 private:
  void Eject(Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Blend(double failure) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const HealthSettings settings_;
  mutable absl::Mutex mutex_;
  uint32_t failures_in_a_row_ ABSL_GUARDED_BY(mutex_) = 0;
  uint32_t ejections_ ABSL_GUARDED_BY(mutex_) = 0;
  double recent_requests_ ABSL_GUARDED_BY(mutex_) = 0;
  double failure_share_ ABSL_GUARDED_BY(mutex_) = 0;
  Duration latency_ ABSL_GUARDED_BY(mutex_) = absl::ZeroDuration();
  Time ejected_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace ladderstream::health
