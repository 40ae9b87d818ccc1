// A scripted partitioner for tests, linked in place of the real one.
#pragma once

#include <cstdint>
#include <vector>

#include "core/partition/partitioner.h"

namespace ladderstream::partition {

struct PartitionerScript {
  /// Moves returned by the next call of Propose(), then cleared.
  std::vector<ProposedMove> next;
  /// Percentage of Propose() calls that also move a random key range.
  uint32_t random_moves_percent = 0;
  uint64_t random_state = 1;
};

/// Returns the script used by all partitioners of the process.
PartitionerScript& Script();

}  // namespace ladderstream::partition
