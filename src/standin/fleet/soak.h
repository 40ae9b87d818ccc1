// Nodes as processes under load and many faults at once, judged in the end.
//
// Used from one thread.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "standin/fleet/deployments.h"
#include "standin/fleet/judge.h"
#include "standin/fleet/probe_plan.h"
#include "standin/fleet/soak_schedule.h"

namespace ladderstream::fleet {

struct SoakSettings {
  Deployment deployment;
  std::string node_program;
  size_t nodes = 3;
  std::vector<SoakFault> schedule;
  /// The last fault ends before.
  Duration length = absl::Seconds(30);
  /// What every node is asked for while it changes; null: nothing.
  ProbePlanPtr probe_plan;
  /// Of a core, for each node, as a quota; see NodeQuota. 0: no bound.
  double core_share = 0;
  /// Where the logs of the nodes and the schedule are kept when something failed.
  std::string keep_in;
};

struct SoakResult {
  Verdict verdict;
  /// What did not come back within its bound after the last fault; empty when all did.
  std::string not_recovered;

  bool Passed() const { return verdict.IsClean() && not_recovered.empty(); }
};

/// Tells `out` of each fault. Throws Error(kInternal) when the nodes do not come up.
SoakResult RunSoak(const SoakSettings& settings, std::ostream* out);

/// Leaves faults out, one by one and at most for so many runs, as long as what is left still fails.
std::vector<SoakFault> ShrinkSchedule(SoakSettings settings, size_t most_runs, std::ostream* out);

}  // namespace ladderstream::fleet
