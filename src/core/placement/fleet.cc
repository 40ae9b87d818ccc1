#include "core/placement/fleet.h"

#include <algorithm>
#include <limits>

namespace ladderstream::placement {
namespace {

/// An idle shard counts for this share of the mean rate of a shard.
constexpr double kIdleShare = 0.02;

double IdleWeight(const PlacementInput& input) {
  double total = 0;
  for (const ShardView& shard : input.shards) {
    total += shard.rate;
  }
  if (total <= 0) {
    return 1;
  }
  return kIdleShare * total / static_cast<double>(input.shards.size());
}

}  // namespace

double ColdStartRamp::ShareAt(Duration age) const {
  if (age >= duration) {
    return 1;
  }
  const double progress = absl::FDivDuration(std::max(age, absl::ZeroDuration()), duration);
  return initial_share + (1 - initial_share) * progress;
}

Fleet::Fleet(const PlacementInput& input, const ColdStartRamp& ramp)
    : idle_weight_(IdleWeight(input)) {
  for (const BackendView& backend : input.backends) {
    FleetMember member;
    member.id = backend.id;
    member.full_capacity = std::max<uint32_t>(backend.slots, 1);
    member.capacity = member.full_capacity * ramp.ShareAt(backend.age);
    member.accepts = backend.live && !backend.draining;
    member.draining = backend.draining;
    if (member.accepts) {
      accepting_capacity_ += member.capacity;
    }
    index_.emplace(member.id, members_.size());
    members_.push_back(std::move(member));
  }
  for (const ShardView& shard : input.shards) {
    const double weight = WeightOf(shard.rate);
    total_weight_ += weight;
    if (const auto owner = Find(shard.owner)) {
      AddLoad(*owner, weight);
    }
  }
}

std::optional<size_t> Fleet::Find(const BackendId& id) const {
  const auto found = index_.find(id);
  if (found == index_.end()) {
    return std::nullopt;
  }
  return found->second;
}

double Fleet::FairLoad(size_t member) const {
  if (accepting_capacity_ <= 0) {
    return 0;
  }
  return total_weight_ * members_[member].capacity / accepting_capacity_;
}

double Fleet::RelativeLoad(size_t member) const { return RelativeLoadWith(member, 0); }

double Fleet::RelativeLoadWith(size_t member, double weight) const {
  const double fair = FairLoad(member);
  return fair > 0 ? (members_[member].load + weight) / fair : 0;
}

std::optional<size_t> Fleet::LeastLoadedWith(double weight) const {
  std::optional<size_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].accepts) {
      continue;
    }
    const double load = RelativeLoadWith(i, weight);
    if (load < best_load) {
      best_load = load;
      best = i;
    }
  }
  return best;
}

}  // namespace ladderstream::placement
