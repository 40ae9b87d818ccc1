#include "core/placement/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace ladderstream::placement {

std::vector<size_t> RankMembers(const ShardId& shard, const Fleet& fleet) {
  const std::string name =
      absl::StrCat(shard.service.value(), "/", shard.range.value(), "/", shard.key);
  const uint64_t seed = XXH3_64bits(name.data(), name.size());
  std::vector<std::pair<uint64_t, size_t>> ranked;
  ranked.reserve(fleet.members().size());
  for (size_t i = 0; i < fleet.members().size(); ++i) {
    const std::string& id = fleet.members()[i].id.value();
    ranked.emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), seed), i);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<size_t> order;
  order.reserve(ranked.size());
  for (const auto& [hash, index] : ranked) {
    order.push_back(index);
  }
  return order;
}

}  // namespace ladderstream::placement
