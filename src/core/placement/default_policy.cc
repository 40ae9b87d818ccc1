#include "core/placement/fleet.h"
#include "core/placement/free_shards.h"
#include "core/placement/policy.h"

namespace ladderstream::placement {
namespace {

/// Gives free shards to the least loaded back end and empties those that drain.
class LeastLoadedPolicy : public PlacementPolicy {
 public:
  PlacementPlan Decide(const PlacementInput& input) override {
    Fleet fleet(input, ColdStartRamp{});
    PlacementPlan plan;
    plan.assignments = PlaceFreeShards(input, fleet);
    plan.moves = EmptyDraining(input, fleet);
    return plan;
  }

 private:
  static std::vector<RevokeShards::Item> EmptyDraining(const PlacementInput& input, Fleet& fleet) {
    std::vector<RevokeShards::Item> moves;
    for (const ShardView& shard : input.shards) {
      const auto owner = fleet.Find(shard.owner);
      if (!shard.movable || !owner || !fleet.members()[*owner].draining) {
        continue;
      }
      const double weight = fleet.WeightOf(shard.rate);
      const auto next = fleet.LeastLoadedWith(weight);
      if (!next) {
        break;
      }
      fleet.AddLoad(*owner, -weight);
      fleet.AddLoad(*next, weight);
      moves.push_back({shard.shard, fleet.members()[*next].id});
    }
    return moves;
  }
};

}  // namespace

PlacementPolicyPtr MakeDefaultPolicy() { return std::make_unique<LeastLoadedPolicy>(); }

}  // namespace ladderstream::placement
