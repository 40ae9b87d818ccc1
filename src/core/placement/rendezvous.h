// Rendezvous hashing: each shard ranks the back ends in an order of its own.
#pragma once

#include <string>
#include <vector>

#include "core/placement/fleet.h"

namespace ladderstream::placement {

/// Member indexes from the first choice to the last for this shard.
std::vector<size_t> RankMembers(const ShardId& shard, const Fleet& fleet);

}  // namespace ladderstream::placement
