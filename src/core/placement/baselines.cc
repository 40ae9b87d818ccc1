#include "core/placement/baselines.h"

#include <algorithm>
#include <optional>

#include "core/placement/fleet.h"
#include "core/placement/free_shards.h"
#include "core/placement/hot_keys.h"
#include "core/placement/rendezvous.h"

namespace ladderstream::placement {
namespace {

/// Puts each shard where `owner_of` says: assigns the free ones, moves the others.
template <typename OwnerOf>
void FollowTable(const PlacementInput& input, const Fleet& fleet, bool may_move,
                 const OwnerOf& owner_of, PlacementPlan& plan) {
  for (const ShardView& shard : input.shards) {
    const std::optional<size_t> owner = owner_of(shard);
    if (!shard.movable || !owner) {
      continue;
    }
    const BackendId& wanted = fleet.members()[*owner].id;
    const auto current = fleet.Find(shard.owner);
    if (!current) {
      plan.assignments.push_back({shard.shard, wanted});
    } else if (shard.owner != wanted && (may_move || fleet.members()[*current].draining)) {
      plan.moves.push_back({shard.shard, wanted});
    }
  }
}

/// Lets a policy move shards only every `period`.
class Period {
 public:
  explicit Period(Duration period) : period_(period) {}

  bool IsDue(Time now) {
    if (now < next_) {
      return false;
    }
    next_ = now + period_;
    return true;
  }

 private:
  Duration period_;
  Time next_ = absl::InfinitePast();
};

class StaticHashPolicy : public PlacementPolicy {
 public:
  PlacementPlan Decide(const PlacementInput& input) override {
    const Fleet fleet(input, ColdStartRamp{});
    PlacementPlan plan;
    const auto first_choice = [&fleet](const ShardView& shard) -> std::optional<size_t> {
      for (const size_t member : RankMembers(shard.shard, fleet)) {
        if (fleet.members()[member].accepts) {
          return member;
        }
      }
      return std::nullopt;
    };
    FollowTable(input, fleet, true, first_choice, plan);
    return plan;
  }
};

class BoundedLoadPolicy : public PlacementPolicy {
 public:
  BoundedLoadPolicy(double bound, Duration period) : bound_(bound), period_(period) {}

  PlacementPlan Decide(const PlacementInput& input) override {
    const Fleet fleet(input, ColdStartRamp{});
    std::vector<double> loads(fleet.members().size(), 0);
    PlacementPlan plan;
    const auto first_with_room = [&](const ShardView& shard) -> std::optional<size_t> {
      const double weight = fleet.WeightOf(shard.rate);
      std::optional<size_t> fallback;
      for (const size_t member : RankMembers(shard.shard, fleet)) {
        if (!fleet.members()[member].accepts) {
          continue;
        }
        if (loads[member] + weight <= bound_ * fleet.FairLoad(member)) {
          loads[member] += weight;
          return member;
        }
        fallback = fallback ? fallback : member;
      }
      if (fallback) {
        loads[*fallback] += weight;
      }
      return fallback;
    };
    FollowTable(input, fleet, period_.IsDue(input.now), first_with_room, plan);
    return plan;
  }

 private:
  double bound_;
  Period period_;
};

class GreedyPolicy : public PlacementPolicy {
 public:
  GreedyPolicy(Duration period, bool split_hot_keys)
      : period_(period), split_hot_keys_(split_hot_keys) {}

  PlacementPlan Decide(const PlacementInput& input) override {
    Fleet fleet(input, ColdStartRamp{});
    PlacementPlan plan;
    plan.assignments = PlaceFreeShards(input, fleet);
    moved_.assign(input.shards.size(), false);
    EmptyDraining(input, fleet, plan);
    if (split_hot_keys_) {
      hot_keys_.Decide(input, fleet, plan);
    }
    if (period_.IsDue(input.now)) {
      while (MoveBest(input, fleet, plan)) {
      }
    }
    return plan;
  }

 private:
  /// Below this excess of the peak over the mean nothing is moved.
  static constexpr double kTolerance = 0.02;

  void EmptyDraining(const PlacementInput& input, Fleet& fleet, PlacementPlan& plan) {
    for (size_t i = 0; i < input.shards.size(); ++i) {
      const auto owner = fleet.Find(input.shards[i].owner);
      const auto next = fleet.LeastLoadedWith(fleet.WeightOf(input.shards[i].rate));
      if (input.shards[i].movable && owner && next && fleet.members()[*owner].draining) {
        Move(input, i, *owner, *next, fleet, plan);
      }
    }
  }

  /// Makes the one move that brings the most and the least loaded closest; false when none does.
  bool MoveBest(const PlacementInput& input, Fleet& fleet, PlacementPlan& plan) {
    const auto to = fleet.LeastLoadedWith(0);
    const auto from = MostLoaded(fleet);
    if (!to || !from || fleet.RelativeLoad(*from) < 1 + kTolerance) {
      return false;
    }
    std::optional<size_t> best;
    double best_peak = fleet.RelativeLoad(*from);
    for (size_t i = 0; i < input.shards.size(); ++i) {
      const ShardView& shard = input.shards[i];
      if (!shard.movable || moved_[i] || shard.owner != fleet.members()[*from].id) {
        continue;
      }
      const double weight = fleet.WeightOf(shard.rate);
      const double peak =
          std::max(fleet.RelativeLoadWith(*from, -weight), fleet.RelativeLoadWith(*to, weight));
      if (peak < best_peak) {
        best_peak = peak;
        best = i;
      }
    }
    if (!best) {
      return false;
    }
    Move(input, *best, *from, *to, fleet, plan);
    return true;
  }

  static std::optional<size_t> MostLoaded(const Fleet& fleet) {
    std::optional<size_t> most;
    for (size_t i = 0; i < fleet.members().size(); ++i) {
      if (fleet.members()[i].accepts &&
          (!most || fleet.RelativeLoad(i) > fleet.RelativeLoad(*most))) {
        most = i;
      }
    }
    return most;
  }

  void Move(const PlacementInput& input, size_t index, size_t from, size_t to, Fleet& fleet,
            PlacementPlan& plan) {
    const double weight = fleet.WeightOf(input.shards[index].rate);
    fleet.AddLoad(from, -weight);
    fleet.AddLoad(to, weight);
    moved_[index] = true;
    plan.moves.push_back({input.shards[index].shard, fleet.members()[to].id});
  }

  Period period_;
  bool split_hot_keys_;
  HotKeys hot_keys_{HotKeySettings{}};
  std::vector<bool> moved_;
};

}  // namespace

PlacementPolicyPtr MakeStaticHashPolicy() { return std::make_unique<StaticHashPolicy>(); }

PlacementPolicyPtr MakeBoundedLoadPolicy(double bound, Duration period) {
  return std::make_unique<BoundedLoadPolicy>(bound, period);
}

PlacementPolicyPtr MakeGreedyPolicy(Duration period, bool split_hot_keys) {
  return std::make_unique<GreedyPolicy>(period, split_hot_keys);
}

}  // namespace ladderstream::placement
