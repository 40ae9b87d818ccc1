// The policy that the product runs: one objective of imbalance, churn and unavailable time.
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <optional>

#include "core/placement/cost_model.h"
#include "core/placement/fleet.h"
#include "core/placement/free_shards.h"
#include "core/placement/hot_keys.h"
#include "core/placement/move_budget.h"
#include "core/placement/policy.h"

namespace ladderstream::placement {
namespace {

/// A back end must have been a worthwhile source for this long before it gives up a shard: rates
/// are noisy and lag.
constexpr Duration kPersistence = absl::Seconds(3);

/// A shard that moved stays for at least this long, unless its owner drains.
constexpr Duration kCooldown = absl::Seconds(30);

/// At most this share of the shards may move for balance in a period.
constexpr double kBudgetShare = 0.10;
constexpr Duration kBudgetPeriod = absl::Minutes(1);

/// At most this share of the shards may be on the move at once.
constexpr double kInFlightShare = 0.04;

/// A key of its own counts as this share of a range's keys.
constexpr double kSingleKeyShare = 0.001;

/// Rates are taken to be averages over this time; they err by chance as counts of it do.
constexpr Duration kRateWindow = absl::Seconds(10);

struct Candidate {
  size_t shard_index = 0;
  size_t from = 0;
  size_t to = 0;
  double weight = 0;
  double net_value = 0;
};

class WeightedCostPolicy : public PlacementPolicy {
 public:
  PlacementPlan Decide(const PlacementInput& input) override {
    Fleet fleet(input, ColdStartRamp{});
    PlacementPlan plan;
    plan.assignments = PlaceFreeShards(input, fleet);
    moved_.assign(input.shards.size(), false);
    IndexShards(input, fleet);
    EmptyDraining(input, fleet, plan);
    const std::vector<StrayKey> strays = hot_keys_.Decide(input, fleet, plan);
    ReturnStrays(input, strays, fleet, plan);
    Balance(input, fleet, plan);
    return plan;
  }

 private:
  /// Lists the movable shards of each back end, and counts what is under way.
  void IndexShards(const PlacementInput& input, const Fleet& fleet) {
    shards_of_.assign(fleet.members().size(), {});
    in_flight_ = 0;
    range_count_ = 0;
    for (size_t i = 0; i < input.shards.size(); ++i) {
      const ShardView& shard = input.shards[i];
      if (shard.shard.key.empty()) {
        ++range_count_;
      }
      if (!shard.movable) {
        ++in_flight_;
        continue;
      }
      if (const auto owner = fleet.Find(shard.owner)) {
        shards_of_[*owner].push_back(i);
      }
    }
  }

  /// A leaving back end gives up everything at once, whatever it costs.
  void EmptyDraining(const PlacementInput& input, Fleet& fleet, PlacementPlan& plan) {
    for (size_t member = 0; member < fleet.members().size(); ++member) {
      if (!fleet.members()[member].draining) {
        continue;
      }
      for (const size_t index : shards_of_[member]) {
        const double weight = fleet.WeightOf(input.shards[index].rate);
        if (const auto next = fleet.LeastLoadedWith(weight)) {
          Move(input, {index, member, *next, weight, 0}, fleet, plan);
        }
      }
    }
  }

  /// Sends keys that have cooled back to the owners of their ranges, so that they can merge.
  void ReturnStrays(const PlacementInput& input, const std::vector<StrayKey>& strays, Fleet& fleet,
                    PlacementPlan& plan) {
    for (const StrayKey& stray : strays) {
      const ShardView& shard = input.shards[stray.shard_index];
      const auto from = fleet.Find(shard.owner);
      const auto to = fleet.Find(stray.range_owner);
      if (moved_[stray.shard_index] || !from || !to || !fleet.members()[*to].accepts) {
        continue;
      }
      Move(input, {stray.shard_index, *from, *to, fleet.WeightOf(shard.rate), 0}, fleet, plan);
    }
  }

  void Balance(const PlacementInput& input, Fleet& fleet, PlacementPlan& plan) {
    const CostModel costs(input.service.weights);
    const double budget = std::max(2.0, kBudgetShare * static_cast<double>(input.shards.size()));
    const auto in_flight_limit = static_cast<size_t>(
        std::max(2.0, kInFlightShare * static_cast<double>(input.shards.size())));
    bool any_source = false;
    while (in_flight_ < in_flight_limit) {
      const auto best = BestMove(input, fleet, costs);
      if (!best) {
        break;
      }
      any_source = true;
      if (!HasPersisted(input.now) || !budget_.TakeOne(budget, kBudgetPeriod, input.now)) {
        break;
      }
      Move(input, *best, fleet, plan);
    }
    if (!any_source) {
      unbalanced_since_.reset();
    }
  }

  bool HasPersisted(Time now) {
    if (!unbalanced_since_) {
      unbalanced_since_ = now;
    }
    return now - *unbalanced_since_ >= kPersistence;
  }

  /// The most valuable move from the most loaded back end that has one.
  std::optional<Candidate> BestMove(const PlacementInput& input, const Fleet& fleet,
                                    const CostModel& costs) const {
    const auto to = fleet.LeastLoadedWith(0);
    if (!to) {
      return std::nullopt;
    }
    for (const size_t from : SourcesByLoad(fleet)) {
      const auto best = BestMoveBetween(input, fleet, costs, from, *to);
      if (best) {
        return best;
      }
    }
    return std::nullopt;
  }

  static std::vector<size_t> SourcesByLoad(const Fleet& fleet) {
    std::vector<size_t> sources;
    for (size_t i = 0; i < fleet.members().size(); ++i) {
      if (fleet.members()[i].accepts && fleet.RelativeLoad(i) > 1) {
        sources.push_back(i);
      }
    }
    std::sort(sources.begin(), sources.end(), [&fleet](size_t left, size_t right) {
      return fleet.RelativeLoad(left) > fleet.RelativeLoad(right);
    });
    return sources;
  }

  std::optional<Candidate> BestMoveBetween(const PlacementInput& input, const Fleet& fleet,
                                           const CostModel& costs, size_t from, size_t to) const {
    std::optional<Candidate> best;
    const double keys_per_backend =
        static_cast<double>(range_count_) / static_cast<double>(fleet.members().size());
    for (const size_t index : shards_of_[from]) {
      const ShardView& shard = input.shards[index];
      if (moved_[index] || IsCoolingDown(shard.shard, input.now)) {
        continue;
      }
      const double weight = fleet.WeightOf(shard.rate);
      MoveFootprint move;
      move.load_share = weight / fleet.FairLoad(to);
      move.key_share = (shard.shard.key.empty() ? 1 : kSingleKeyShare) / keys_per_backend;
      move.from_load = fleet.RelativeLoad(from);
      move.to_load = fleet.RelativeLoad(to);
      move.load_error = LoadError(fleet, from, to);
      const double net_value = costs.NetValue(move);
      if (net_value > 0 && (!best || net_value > best->net_value)) {
        best = Candidate{index, from, to, weight, net_value};
      }
    }
    return best;
  }

  /// One standard deviation of the difference of two relative loads.
  static double LoadError(const Fleet& fleet, size_t from, size_t to) {
    const double seconds = absl::ToDoubleSeconds(kRateWindow);
    const auto variance = [&](size_t member) {
      const double fair = fleet.FairLoad(member);
      return fleet.members()[member].load / (seconds * fair * fair);
    };
    return std::sqrt(variance(from) + variance(to));
  }

  bool IsCoolingDown(const ShardId& shard, Time now) const {
    const auto moved = moved_at_.find(shard);
    return moved != moved_at_.end() && now - moved->second < kCooldown;
  }

  void Move(const PlacementInput& input, const Candidate& move, Fleet& fleet, PlacementPlan& plan) {
    const ShardId& shard = input.shards[move.shard_index].shard;
    fleet.AddLoad(move.from, -move.weight);
    fleet.AddLoad(move.to, move.weight);
    plan.moves.push_back({shard, fleet.members()[move.to].id});
    moved_[move.shard_index] = true;
    ++in_flight_;
    Remember(shard, input.now);
  }

  /// Keeps only the moves that still matter.
  void Remember(const ShardId& shard, Time now) {
    constexpr size_t kSweepAt = 512;
    if (moved_at_.size() >= kSweepAt) {
      absl::erase_if(moved_at_,
                     [now](const auto& entry) { return now - entry.second >= kCooldown; });
    }
    moved_at_[shard] = now;
  }

  HotKeys hot_keys_{HotKeySettings{}};
  MoveBudget budget_;
  std::optional<Time> unbalanced_since_;
  absl::flat_hash_map<ShardId, Time> moved_at_;

  // Valid during one decision only.
  std::vector<std::vector<size_t>> shards_of_;
  std::vector<bool> moved_;
  size_t in_flight_ = 0;
  size_t range_count_ = 0;
};

}  // namespace

PlacementPolicyPtr MakeDefaultPolicy() { return std::make_unique<WeightedCostPolicy>(); }

}  // namespace ladderstream::placement
