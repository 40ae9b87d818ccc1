// The faults of one simulated run: drawn from a seed, shown to people, dropped one by one to find
// the few that matter.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::simulation {

enum class FaultKind {
  kPauseNode,
  /// The node is paused between a decision and what comes of it.
  kPauseNodeAfterDecision,
  kCrashNode,
  kPauseBackend,
  kPauseBackendAfterDecision,
  kCrashBackend,
  /// No message to or from the node.
  kCutNode,
  /// Messages from the node are lost, those to it arrive.
  kCutNodeOneWay,
  /// The nodes up to `target` and the rest do not reach each other; back ends reach all.
  kPartitionNodes,
  /// The back end reaches nobody.
  kCutBackend,
  kStoreDown,
  kStoreAnswersLost,
  kStoreRateLimited,
};

inline constexpr int kFaultKinds = 13;

struct Fault {
  /// Since the start of the run.
  Duration at;
  Duration duration;
  FaultKind kind = FaultKind::kPauseNode;
  /// Which node or back end; ignored where there is none.
  size_t target = 0;
  /// The node that leads when the fault begins, if there is one, instead of `target`.
  bool at_leader = false;
};

struct FaultPlan {
  uint64_t seed = 0;
  Duration duration;
  std::vector<Fault> faults;
};

/// Draws faults for a run of `duration`. Nodes crash one at a time with time between to replace
/// the voter: the loss that acknowledged assignments are documented to survive.
FaultPlan DrawFaultPlan(uint64_t seed, Duration duration, size_t nodes, size_t backends);

/// Writes the plan, one fault a line.
std::string Describe(const FaultPlan& plan);

}  // namespace ladderstream::simulation
