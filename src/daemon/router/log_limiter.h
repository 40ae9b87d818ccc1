// Keeps a failure that hits every request from flooding the log.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <optional>

#include "wire/time.h"

namespace ladderstream {

/// Thread-safe.
class LogLimiter {
 public:
  explicit LogLimiter(uint32_t lines_per_second) : lines_per_second_(lines_per_second) {}

  /// Whether a line may be written now; if so, gives how many were held back since the last one.
  std::optional<uint64_t> Admit(Time now) {
    const absl::MutexLock lock(&mutex_);
    if (now - second_began_ >= absl::Seconds(1)) {
      second_began_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
      ++held_back_;
      return std::nullopt;
    }
    ++lines_;
    const uint64_t held_back = held_back_;
    held_back_ = 0;
    return held_back;
  }

 private:
  const uint32_t lines_per_second_;
  absl::Mutex mutex_;
  Time second_began_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  uint32_t lines_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t held_back_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace ladderstream
