// Finds a running attempt by its request id, so that it can be cancelled.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <string>

#include "core/routing/cancellation.h"

namespace ladderstream {

/// Thread-safe.
class AttemptRegistry {
 public:
  void Add(const std::string& request_id, routing::CancellationPtr cancellation);
  void Remove(const std::string& request_id);
  /// Does nothing when there is no such attempt.
  void Cancel(const std::string& request_id);

 private:
  /// Attempts are spread over these, so that threads seldom meet at one lock.
  struct Stripe {
    absl::Mutex mutex;
    absl::flat_hash_map<std::string, routing::CancellationPtr> attempts ABSL_GUARDED_BY(mutex);
  };
  static constexpr size_t kStripes = 16;

  Stripe& StripeOf(const std::string& request_id);

  std::array<Stripe, kStripes> stripes_;
};

}  // namespace ladderstream
