// A partitioner that does as the test says; linked in place of the real one.
#pragma once

#include <cstdint>
#include <vector>

#include "core/partition/partitioner.h"

namespace ladderstream::partition {

struct PartitionerScript {
  /// Proposed at the next question, then cleared.
  std::vector<ProposedMove> next;
  /// Out of 100 questions, how many are answered with a move of random keys.
  uint32_t random_moves_percent = 0;
  uint64_t random_state = 1;
};

/// The script in force for all partitioners of the process.
PartitionerScript& Script();

}  // namespace ladderstream::partition
