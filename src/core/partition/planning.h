// The three kinds of moves. Each works on a Fleet, in which it carries out what it proposes.
#pragma once

#include <vector>

#include "core/partition/fleet.h"
#include "core/partition/partitioner.h"

namespace ladderstream::partition {

/// Gives all keys that have no owner, or one that may not keep them, to others. All at once, unless
/// nobody accepts keys.
std::vector<ProposedMove> PlanEvacuation(Fleet& fleet, const PartitionWeights& weights);

/// Moves keys away from back ends that are or are about to be overloaded, as far as this brings
/// more than it costs; at most `max_moves`.
std::vector<ProposedMove> PlanBalance(Fleet& fleet, const PartitionWeights& weights,
                                      size_t max_moves);

/// Gives tiny ranges that a hot slice left behind to their neighbours' owners, when there are many.
/// `settled` tells keys that have not moved for a while.
std::vector<ProposedMove> PlanMerges(Fleet& fleet, const std::vector<RecentMove>& recent_moves);

}  // namespace ladderstream::partition
