// Finds the most requested names in a stream with a fixed number of counters (space-saving).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "wire/ownership.h"

namespace ladderstream::routing {

/// Any name requested more often than a `capacity`-th of all is surely counted. Not thread-safe.
class LoadSketch {
 public:
  explicit LoadSketch(size_t capacity) : capacity_(capacity) {}

  void Add(const ShardId& shard);

  struct Item {
    ShardId shard;
    /// It was requested at least this often.
    uint64_t count = 0;
  };

  /// Gives what was counted, in no order, and starts again.
  std::vector<Item> Take();

 private:
  struct Counter {
    uint64_t count = 0;
    /// How much of `count` may belong to others.
    uint64_t error = 0;
  };

  const size_t capacity_;
  absl::flat_hash_map<ShardId, Counter> counters_;
};

/// Leaves the `limit` items with the highest counts, highest first.
void KeepBusiest(std::vector<LoadSketch::Item>& items, size_t limit);

}  // namespace ladderstream::routing
