// Decides which hot keys become shards of their own and which are given back to their ranges.
//
// A key of its own can be moved without the rest of its range: it carries much load for one changed
// owner. A key is split out when its rate passes a share of what a back end fairly carries, and
// given back when it has stayed cold for a while. Not thread-safe; belongs to one service.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "core/placement/fleet.h"
#include "core/placement/policy.h"

namespace ladderstream::placement {

struct HotKeySettings {
  /// Split a key whose rate passes this share of a back end's fair load.
  double split_share = 0.04;
  /// Give a key back when it stays below this share.
  double merge_share = 0.012;
  /// How long it must stay below.
  Duration merge_delay = absl::Minutes(2);
  /// Bound on the split keys, for each back end of the service.
  double max_per_backend = 8;
};

/// A key that is cold, but not with the owner of its range: it must be moved before it can merge.
struct StrayKey {
  size_t shard_index = 0;
  BackendId range_owner;
};

class HotKeys {
 public:
  explicit HotKeys(const HotKeySettings& settings) : settings_(settings) {}

  /// Adds splits and merges to `plan`; gives the cold keys that must move first.
  std::vector<StrayKey> Decide(const PlacementInput& input, const Fleet& fleet,
                               PlacementPlan& plan);

 private:
  using ColdKeys = absl::flat_hash_map<ShardId, Time>;

  void Split(const PlacementInput& input, double fair_rate, size_t split_keys,
             PlacementPlan& plan) const;
  /// Whether the key has been cold for long enough; `known` is what was cold last time.
  bool HasCooled(const ShardView& shard, double fair_rate, Time now, const ColdKeys& known);

  HotKeySettings settings_;
  ColdKeys cold_since_;
};

}  // namespace ladderstream::placement
