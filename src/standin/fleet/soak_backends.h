// The faults of a soak that strike back ends.
#pragma once

#include <functional>

#include "standin/fleet/fleet.h"
#include "standin/fleet/soak_schedule.h"

namespace ladderstream::fleet {

class BackendFaultInjector {
 public:
  /// Runs a step after a delay, unless all faults have ended by then.
  using Later = std::function<void(Duration delay, std::function<void()> step)>;

  /// `fleet` outlives the injector.
  BackendFaultInjector(Fleet* fleet, Later later) : fleet_(fleet), later_(std::move(later)) {}

  /// Strikes the back end that the fault's target chooses. Without effect when it would be the last
  /// of its service.
  void Strike(const SoakFault& fault);

 private:
  Backend* Pick(const SoakFault& fault);
  static BackendFaults FaultsOf(const SoakFault& fault);

  Fleet* fleet_;
  Later later_;
};

}  // namespace ladderstream::fleet
