#include "core/routing/load_sketch.h"

#include <algorithm>
#include <utility>

namespace ladderstream::routing {

void LoadSketch::Add(const ShardId& shard) {
  const auto found = counters_.find(shard);
  if (found != counters_.end()) {
    ++found->second.count;
    return;
  }
  if (counters_.size() < capacity_) {
    counters_.emplace(shard, Counter{1, 0});
    return;
  }
  const auto least = std::min_element(
      counters_.begin(), counters_.end(),
      [](const auto& left, const auto& right) { return left.second.count < right.second.count; });
  const uint64_t inherited = least->second.count;
  counters_.erase(least);
  counters_.emplace(shard, Counter{inherited + 1, inherited});
}

std::vector<LoadSketch::Item> LoadSketch::Take() {
  std::vector<Item> items;
  items.reserve(counters_.size());
  for (const auto& [shard, counter] : counters_) {
    items.push_back({shard, counter.count - counter.error});
  }
  counters_.clear();
  return items;
}

void KeepBusiest(std::vector<LoadSketch::Item>& items, size_t limit) {
  std::sort(items.begin(), items.end(),
            [](const LoadSketch::Item& left, const LoadSketch::Item& right) {
              return left.count > right.count;
            });
  if (items.size() > limit) {
    items.resize(limit);
  }
}

}  // namespace ladderstream::routing
