// The last requests by key, as the nodes told them, in the order of their arrival.
#pragma once

#include <deque>
#include <vector>

#include "core/partition/partitioner.h"

namespace ladderstream::partition {

class RecentLoad {
 public:
  /// What was told at about one time.
  struct Batch {
    Time at;
    /// The time in which these were counted.
    double seconds = 0;
    /// Sorted by key; a key may occur more than once.
    std::vector<KeyCount> counts;
  };

  void Add(const std::vector<KeyCount>& counts, Duration observed, Time now);

  /// Oldest first; nothing older than the window.
  const std::deque<Batch>& Batches() const { return batches_; }

 private:
  std::deque<Batch> batches_;
};

}  // namespace ladderstream::partition
