// The faults of a soak that cut nodes off from all back ends.
#pragma once

#include <functional>
#include <set>

#include "standin/fleet/fleet.h"
#include "standin/fleet/soak_schedule.h"

namespace ladderstream::fleet {

class PathCutInjector {
 public:
  /// Runs a step after a delay, unless all faults have ended by then.
  using Later = std::function<void(Duration delay, std::function<void()> step)>;

  /// `fleet` outlives the injector and has `nodes` nodes.
  PathCutInjector(Fleet* fleet, size_t nodes, Later later)
      : fleet_(fleet), node_count_(nodes), later_(std::move(later)) {}

  /// Cuts off the nodes that the fault's kind and target choose, for as long as it lasts.
  void Strike(const SoakFault& fault);
  /// Ends all cuts.
  void Heal();

 private:
  /// At least one node is spared.
  std::set<size_t> Choose(const SoakFault& fault) const;
  void Apply();

  Fleet* fleet_;
  size_t node_count_;
  Later later_;
  /// Nodes without a path to back ends, once for each cut that has not ended.
  std::multiset<size_t> cut_nodes_;
  CutMode mode_ = CutMode::kSilent;
};

}  // namespace ladderstream::fleet
