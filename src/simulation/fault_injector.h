// Carries out a fault plan on a cluster.
#pragma once

#include <vector>

#include "simulation/cluster.h"
#include "simulation/fault_plan.h"

namespace ladderstream::simulation {

class FaultInjector {
 public:
  explicit FaultInjector(Cluster& cluster) : cluster_(cluster) {}

  void Schedule(const FaultPlan& plan);
  /// Ends every fault at once; from now on the network is perfect.
  void EndAll();

 private:
  using Cuts = std::vector<std::pair<HostId, HostId>>;

  void Begin(const Fault& fault);
  void BeginPause(const Fault& fault, size_t node);
  void BeginCrash(const Fault& fault, size_t node);
  void BeginStoreFault(const Fault& fault);
  Cuts CutsOf(const Fault& fault, size_t node) const;
  void CutFor(const Cuts& cuts, Duration duration);
  void After(Duration delay, std::function<void()> end);

  Cluster& cluster_;
  bool ended_ = false;
  Cuts active_;
};

}  // namespace ladderstream::simulation
