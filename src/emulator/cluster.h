// One emulated service under one placement policy: shards, owners, and the three measures.
//
// Plans are carried out with the delays of the real path (see TransferModel), which are shorter
// than the period of the emulator; they count as unavailable time of the keys concerned. Not
// thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <random>
#include <string>
#include <vector>

#include "core/placement/policy.h"
#include "emulator/deployment.h"
#include "emulator/fault_schedule.h"
#include "emulator/load_model.h"
#include "emulator/summary.h"

namespace ladderstream::emulator {

/// How long a shard has no owner when it moves; drawn evenly between the bounds.
struct TransferModel {
  absl::Duration planned_min = absl::Milliseconds(20);
  absl::Duration planned_max = absl::Milliseconds(60);
  /// After a crash: what is left of the lease, the margin, and the assignment.
  absl::Duration takeover_min = absl::Milliseconds(540);
  absl::Duration takeover_max = absl::Milliseconds(800);
};

/// What the three measures came to.
struct Measures {
  /// Peak over mean of the true load of the live back ends, once a period.
  Summary imbalance;
  /// Keys that changed owner by the policy's choice, as a multiple of all keys.
  double planned_churn = 0;
  /// Keys that changed owner because theirs crashed or drained.
  double forced_churn = 0;
  int planned_moves = 0;
  int forced_moves = 0;
  /// Time without an owner, summed over the keys and divided by their number. Milliseconds.
  double unavailable_ms_per_key = 0;
  /// The part of it that planned moves (not crashes or drains) cost.
  double planned_unavailable_ms_per_key = 0;
  /// Requests that came while their key had no owner.
  double requests_without_owner = 0;
  double requests = 0;
  int splits = 0;
  /// Processor time of the policy.
  absl::Duration decision_time;
  int decisions = 0;

  /// Requests that came while their key had no owner, in millionths of all.
  double UnservedPerMillion() const;
};

class Cluster {
 public:
  Cluster(const ServiceModel& service, const LoadModel& load, placement::PlacementPolicyPtr policy,
          absl::Duration decision_interval, uint64_t seed);

  void Handle(const Fault& fault, absl::Duration now);

  /// Decides if it is due, then measures one period under the true load.
  void Step(const LoadSample& truth, const LoadSample& measured, absl::Duration now,
            absl::Duration period);

  const Measures& measures() const { return measures_; }
  /// Peak over mean in the last period.
  double last_imbalance() const { return last_imbalance_; }

 private:
  struct BackendState {
    bool live = true;
    bool draining = false;
    absl::Duration started;
  };

  void ShowBackends(absl::Duration now);
  /// The rate of every shard under `sample`, in the order of input_.shards.
  std::vector<double> ShardRates(const LoadSample& sample) const;
  void ShowHotKeys(const LoadSample& measured);
  void LearnTrackedKeys();
  void Decide(const LoadSample& truth, absl::Duration now);
  void CarryOut(const placement::PlacementPlan& plan, const LoadSample& truth);
  void Assign(const AssignShards::Item& item, double rate);
  void Move(const RevokeShards::Item& item, double rate);
  void Split(const ShardId& key);
  void Merge(const ShardId& key);
  placement::ShardView* FindShard(const ShardId& shard);
  double KeysOf(const ShardId& shard) const;
  void CountGap(const ShardId& shard, absl::Duration gap, double rate, bool planned);
  void Measure(const LoadSample& truth, absl::Duration period);
  bool HasOwner(const placement::ShardView& shard) const;
  absl::Duration DrawBetween(absl::Duration low, absl::Duration high);

  ServiceModel service_;
  const LoadModel& load_;
  placement::PlacementPolicyPtr policy_;
  absl::Duration decision_interval_;
  absl::Duration next_decision_;
  bool decide_now_ = true;
  bool founded_ = false;
  TransferModel transfer_;
  std::mt19937_64 random_;
  std::vector<BackendState> backends_;
  absl::flat_hash_map<BackendId, size_t> backend_index_;
  /// The ranges come first, in order; keys of their own follow.
  placement::PlacementInput input_;
  /// By tracked key: the index of its shard, or kNotSplit.
  std::vector<size_t> shard_of_tracked_;
  absl::flat_hash_map<std::string, size_t> tracked_by_name_;
  double last_imbalance_ = 1;
  Measures measures_;
};

}  // namespace ladderstream::emulator
