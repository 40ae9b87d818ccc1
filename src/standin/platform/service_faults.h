// The faults that a platform service can be given while it runs.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <nlohmann/json.hpp>

namespace ladderstream::standin {

/// What happens to one request.
enum class RequestFate {
  kServe,
  /// Answered with 429; nothing takes effect.
  kRateLimited,
  /// Takes effect, and the answer is lost.
  kLoseAnswer,
};

/// Thread-safe.
class ServiceFaults {
 public:
  /// `rate_limit` in requests per second, zero for none; up to one second's worth may come at once.
  explicit ServiceFaults(double rate_limit) : rate_limit_(rate_limit), credit_(rate_limit) {}

  /// Changes what `change` names: "delay_ms", "rate_limit", "lose_answers" (how many of the next
  /// writes). Throws nlohmann::json::exception for values of the wrong type.
  void Change(const nlohmann::json& change);

  /// Waits for the delay in force and decides. Only a request that `writes` can lose its answer.
  RequestFate Admit(bool writes, absl::Time now);

  /// The settings in force, and counts of what was served, limited and lost.
  nlohmann::json Describe() const;

 private:
  RequestFate Decide(bool writes, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  double rate_limit_ ABSL_GUARDED_BY(mutex_);
  double credit_ ABSL_GUARDED_BY(mutex_);
  absl::Time credited_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  absl::Duration delay_ ABSL_GUARDED_BY(mutex_) = absl::ZeroDuration();
  uint64_t lose_answers_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t served_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t limited_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t lost_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace ladderstream::standin
