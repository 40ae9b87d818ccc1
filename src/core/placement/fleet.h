// The back ends of one service with the load that a plan would put on each.
//
// A policy builds a Fleet from its input, tries moves on it, and reads the loads that result.
// Not thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <vector>

#include "core/placement/policy.h"

namespace ladderstream::placement {

/// How quickly a back end that started cold is given its full share of load.
struct ColdStartRamp {
  Duration duration = absl::Seconds(60);
  /// The share of its capacity that a back end counts with when it has just been admitted.
  double initial_share = 0.25;

  /// The share of its capacity that a back end of this age counts with.
  double ShareAt(Duration age) const;
};

/// One back end in a plan.
struct FleetMember {
  BackendId id;
  /// Slots times the cold-start share.
  double capacity = 0;
  /// Slots, whatever the age.
  double full_capacity = 0;
  /// Live and not draining: may be given shards.
  bool accepts = false;
  /// May not keep its shards.
  bool draining = false;
  /// The sum of the weights of its shards.
  double load = 0;
};

class Fleet {
 public:
  Fleet(const PlacementInput& input, const ColdStartRamp& ramp);

  const std::vector<FleetMember>& members() const { return members_; }

  /// The index of a back end, if the service has it.
  std::optional<size_t> Find(const BackendId& id) const;

  /// What a shard with this rate counts for. Never zero, so that idle shards are spread as well.
  double WeightOf(double rate) const { return rate + idle_weight_; }

  void AddLoad(size_t member, double weight) { members_[member].load += weight; }

  /// Load over capacity, as a multiple of the service's mean over all that accept shards.
  double RelativeLoad(size_t member) const;

  /// RelativeLoad as it would be with `weight` added (or removed, when negative).
  double RelativeLoadWith(size_t member, double weight) const;

  /// The member that accepts shards and would be the least loaded with `weight` more; none if no
  /// member accepts.
  std::optional<size_t> LeastLoadedWith(double weight) const;

  /// Whether any member accepts shards.
  bool HasTaker() const { return accepting_capacity_ > 0; }

  /// The sum of the weights of all shards, owned or not.
  double total_weight() const { return total_weight_; }

  /// What a member of this capacity would carry in perfect balance.
  double FairLoad(size_t member) const;

 private:
  std::vector<FleetMember> members_;
  absl::flat_hash_map<BackendId, size_t> index_;
  double idle_weight_ = 1;
  double total_weight_ = 0;
  double accepting_capacity_ = 0;
};

}  // namespace ladderstream::placement
