// Builds placement inputs for the tests.
#pragma once

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <string>

#include "core/placement/policy.h"

namespace ladderstream::placement {

inline BackendId TestBackend(int number) { return BackendId(absl::StrCat("b", number)); }

inline ShardId TestRange(uint32_t range) {
  return ShardId{ServiceName("scripts"), RangeIndex(range), ""};
}

/// `backends` warm live back ends with two slots each and no shards.
inline PlacementInput TestInput(int backends) {
  PlacementInput input;
  input.service.name = ServiceName("scripts");
  input.now = absl::UnixEpoch() + absl::Hours(1);
  for (int i = 0; i < backends; ++i) {
    BackendView view;
    view.id = TestBackend(i);
    view.slots = 2;
    view.live = true;
    view.age = absl::Hours(1);
    input.backends.push_back(view);
  }
  return input;
}

/// Adds `count` ranges with this rate; owners go round the back ends, or stay empty.
inline void AddRanges(PlacementInput& input, uint32_t count, double rate, bool owned) {
  for (uint32_t i = 0; i < count; ++i) {
    ShardView shard;
    shard.shard = TestRange(static_cast<uint32_t>(input.shards.size()));
    shard.rate = rate;
    if (owned) {
      shard.owner = input.backends[i % input.backends.size()].id;
    }
    input.shards.push_back(shard);
  }
}

/// Carries a plan out, as if every step took no time.
inline void Apply(const PlacementPlan& plan, PlacementInput& input) {
  std::map<ShardId, BackendId> owners;
  for (const auto& item : plan.assignments) {
    owners[item.shard] = item.owner;
  }
  for (const auto& item : plan.moves) {
    owners[item.shard] = item.next_owner;
  }
  for (ShardView& shard : input.shards) {
    const auto found = owners.find(shard.shard);
    if (found != owners.end()) {
      shard.owner = found->second;
    }
  }
}

/// The rate that each back end carries.
inline std::map<BackendId, double> Loads(const PlacementInput& input) {
  std::map<BackendId, double> loads;
  for (const BackendView& backend : input.backends) {
    loads[backend.id] = 0;
  }
  for (const ShardView& shard : input.shards) {
    loads[shard.owner] += shard.rate;
  }
  return loads;
}

/// Peak over mean of the rates.
inline double Imbalance(const PlacementInput& input) {
  double peak = 0;
  double total = 0;
  const auto loads = Loads(input);
  for (const auto& [id, load] : loads) {
    peak = std::max(peak, load);
    total += load;
  }
  return peak * static_cast<double>(loads.size()) / total;
}

}  // namespace ladderstream::placement
