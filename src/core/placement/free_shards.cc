#include "core/placement/free_shards.h"

#include <algorithm>

namespace ladderstream::placement {

bool IsFree(const ShardView& shard, const Fleet& fleet) {
  return shard.movable && !fleet.Find(shard.owner).has_value();
}

std::vector<AssignShards::Item> PlaceFreeShards(const PlacementInput& input, Fleet& fleet) {
  std::vector<const ShardView*> free;
  for (const ShardView& shard : input.shards) {
    if (IsFree(shard, fleet)) {
      free.push_back(&shard);
    }
  }
  std::stable_sort(free.begin(), free.end(), [](const ShardView* left, const ShardView* right) {
    return left->rate > right->rate;
  });
  std::vector<AssignShards::Item> items;
  for (const ShardView* shard : free) {
    const double weight = fleet.WeightOf(shard->rate);
    const auto owner = fleet.LeastLoadedWith(weight);
    if (!owner) {
      break;
    }
    fleet.AddLoad(*owner, weight);
    items.push_back({shard->shard, fleet.members()[*owner].id});
  }
  return items;
}

}  // namespace ladderstream::placement
