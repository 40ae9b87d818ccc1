// Gives free shards to owners at once. Shared by all policies that place by load.
#pragma once

#include "core/placement/fleet.h"
#include "core/placement/policy.h"

namespace ladderstream::placement {

/// Gives each free shard, heaviest first, to the member that is least loaded with it, and adds its
/// weight there. Gives nothing when no member accepts shards.
std::vector<AssignShards::Item> PlaceFreeShards(const PlacementInput& input, Fleet& fleet);

/// Whether nobody owns the shard: its owner is empty or not one of the service's back ends.
bool IsFree(const ShardView& shard, const Fleet& fleet);

}  // namespace ladderstream::placement
