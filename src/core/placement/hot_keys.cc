#include "core/placement/hot_keys.h"

#include <algorithm>
#include <utility>

namespace ladderstream::placement {
namespace {

using RangeViews = absl::flat_hash_map<RangeIndex, const ShardView*>;

RangeViews IndexRanges(const PlacementInput& input) {
  RangeViews ranges;
  for (const ShardView& shard : input.shards) {
    if (shard.shard.key.empty()) {
      ranges.emplace(shard.shard.range, &shard);
    }
  }
  return ranges;
}

/// The rate of one back end's fair share, over all that accept shards.
double FairRate(const PlacementInput& input, const Fleet& fleet) {
  double total = 0;
  for (const ShardView& shard : input.shards) {
    total += shard.rate;
  }
  const auto takers = std::count_if(fleet.members().begin(), fleet.members().end(),
                                    [](const FleetMember& member) { return member.accepts; });
  return takers > 0 ? total / static_cast<double>(takers) : 0;
}

}  // namespace

std::vector<StrayKey> HotKeys::Decide(const PlacementInput& input, const Fleet& fleet,
                                      PlacementPlan& plan) {
  const double fair_rate = FairRate(input, fleet);
  const RangeViews ranges = IndexRanges(input);
  const ColdKeys known = std::exchange(cold_since_, {});
  std::vector<StrayKey> strays;
  size_t split_keys = 0;
  for (size_t i = 0; i < input.shards.size(); ++i) {
    const ShardView& shard = input.shards[i];
    if (shard.shard.key.empty()) {
      continue;
    }
    ++split_keys;
    if (!HasCooled(shard, fair_rate, input.now, known) || !shard.movable) {
      continue;
    }
    const auto range = ranges.find(shard.shard.range);
    if (range == ranges.end() || !range->second->movable) {
      continue;
    }
    if (range->second->owner == shard.owner) {
      plan.merges.push_back(shard.shard);
    } else {
      strays.push_back({i, range->second->owner});
    }
  }
  Split(input, fair_rate, split_keys, plan);
  return strays;
}

bool HotKeys::HasCooled(const ShardView& shard, double fair_rate, Time now, const ColdKeys& known) {
  if (shard.rate >= settings_.merge_share * fair_rate) {
    return false;
  }
  const auto earlier = known.find(shard.shard);
  const Time since = earlier == known.end() ? now : earlier->second;
  cold_since_.emplace(shard.shard, since);
  return now - since >= settings_.merge_delay;
}

void HotKeys::Split(const PlacementInput& input, double fair_rate, size_t split_keys,
                    PlacementPlan& plan) const {
  const auto limit =
      static_cast<size_t>(settings_.max_per_backend * static_cast<double>(input.backends.size()));
  std::vector<const ShardLoad*> hot;
  for (const ShardLoad& key : input.hot_keys) {
    if (fair_rate > 0 && key.rate > settings_.split_share * fair_rate) {
      hot.push_back(&key);
    }
  }
  std::stable_sort(hot.begin(), hot.end(), [](const ShardLoad* left, const ShardLoad* right) {
    return left->rate > right->rate;
  });
  for (const ShardLoad* key : hot) {
    if (split_keys >= limit) {
      return;
    }
    ++split_keys;
    plan.splits.push_back(key->shard);
  }
}

}  // namespace ladderstream::placement
