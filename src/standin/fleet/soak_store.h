// The faults of a soak that strike the metadata store.
#pragma once

#include <functional>

#include "standin/fleet/fleet.h"
#include "standin/fleet/soak_schedule.h"

namespace ladderstream::fleet {

class StoreFaultInjector {
 public:
  /// Runs a step after a delay, unless all faults have ended by then.
  using Later = std::function<void(Duration delay, std::function<void()> step)>;

  /// `fleet` outlives the injector and has `nodes` nodes.
  StoreFaultInjector(Fleet* fleet, size_t nodes, Later later)
      : fleet_(fleet), node_count_(nodes), later_(std::move(later)) {}

  void Strike(const SoakFault& fault);

 private:
  /// Turns some nodes away and serves the others.
  void RefuseSome(const SoakFault& fault);
  void StrikeFor(const SoakFault& fault, const StoreFaults& faults);
  static StoreFaults FaultsOf(FaultKind kind);

  Fleet* fleet_;
  size_t node_count_;
  Later later_;
};

}  // namespace ladderstream::fleet
