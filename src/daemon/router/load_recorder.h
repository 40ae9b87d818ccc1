// Counts requests by shard and by key, for the authority's placement.
#pragma once

#include <absl/synchronization/mutex.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "core/routing/load_sketch.h"
#include "core/routing/route_table.h"
#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream {

/// Thread-safe.
class LoadRecorder {
 public:
  explicit LoadRecorder(Time now);

  /// Counts one request for the shard that holds `key` and, if that is a range, for the key itself.
  void Record(const routing::ServiceRoute& service, const std::string& key);

  /// Gives the busiest shards and keys since the last call, as rates; at most 64 of each.
  std::vector<ShardLoad> Take(Time now);

 private:
  /// Requests are spread over these by their key's hash, so that threads seldom meet at one lock.
  struct Stripe {
    absl::Mutex mutex;
    std::unique_ptr<routing::LoadSketch> ranges ABSL_GUARDED_BY(mutex);
    std::unique_ptr<routing::LoadSketch> keys ABSL_GUARDED_BY(mutex);
  };
  static constexpr size_t kStripes = 16;

  std::array<Stripe, kStripes> stripes_;
  absl::Mutex taken_mutex_;
  Time taken_ ABSL_GUARDED_BY(taken_mutex_);
};

}  // namespace ladderstream
