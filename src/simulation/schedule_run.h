// One run of a fault plan, judged; and the search for the smallest plan that still fails.
#pragma once

#include <optional>
#include <string>

#include "simulation/cluster.h"
#include "simulation/fault_plan.h"

namespace ladderstream::simulation {

struct RunResult {
  /// What did not hold, with the moment; empty when everything held.
  std::string violation;
  Counts counts;
};

/// Runs the plan and then a quiet time in which everything must be served again.
RunResult RunPlan(const FaultPlan& plan);

/// Draws the plan of `seed` and runs it.
FaultPlan PlanOfSeed(uint64_t seed, Duration duration);

/// Drops faults one by one as long as the run still fails.
FaultPlan Shrink(FaultPlan plan);

}  // namespace ladderstream::simulation
