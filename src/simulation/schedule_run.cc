#include "simulation/schedule_run.h"

#include <absl/strings/str_cat.h>

#include "simulation/callers.h"
#include "simulation/fault_injector.h"
#include "simulation/operators.h"

namespace ladderstream::simulation {
namespace {

/// Longer than the time after which a group that lost its majority is founded anew.
constexpr Duration kQuietTime = absl::Seconds(45);

void RunUntil(Cluster& cluster, Time end) {
  while (cluster.Step(end)) {
  }
}

void CheckRevisionsInForce(Cluster& cluster) {
  for (size_t i = 0; i < cluster.node_count(); ++i) {
    const Revision revision = cluster.Node(i)->Routing().configuration.revision;
    if (revision < cluster.history().newest_acknowledged()) {
      throw InvariantViolation(absl::StrCat("node ", i, " has revision ", revision.value(),
                                            " in force, acknowledged is ",
                                            cluster.history().newest_acknowledged().value()));
    }
  }
}

/// What each node believes, for a run that did not come to rest.
std::string DescribeNodes(Cluster& cluster) {
  std::string text;
  for (size_t i = 0; i < cluster.node_count(); ++i) {
    const authority::AuthorityStatus status = cluster.Node(i)->Status();
    absl::StrAppend(&text, "\n  node ", i, " id ", cluster.Node(i)->id().value(), " role ",
                    static_cast<int>(status.role), " generation ", status.generation, " term ",
                    status.term, " commit ", status.commit_index, " leader ",
                    status.leader.id.value(), " voters");
    for (const NodeDescriptor& voter : status.members.voters) {
      absl::StrAppend(&text, " ", voter.id.value());
    }
  }
  return text;
}

void CheckEnd(Cluster& cluster) {
  if (!cluster.AllServed()) {
    throw InvariantViolation("a shard is not served after a quiet time" + DescribeNodes(cluster));
  }
  const auto leader = cluster.Leader();
  if (!leader) {
    throw InvariantViolation("no leader after a quiet time");
  }
  CheckRevisionsInForce(cluster);
  cluster.history().CheckCalls();
  cluster.history().CheckMoves(cluster.Node(*leader)->Routing(),
                               cluster.Node(*leader)->Status().generation);
}

void RunAll(Cluster& cluster, const FaultPlan& plan) {
  cluster.Start();
  const Time end = cluster.environment().now() + plan.duration;
  Callers callers(cluster);
  Operators operators(cluster);
  FaultInjector injector(cluster);
  injector.Schedule(plan);
  callers.Run(end);
  operators.Run(end);
  RunUntil(cluster, end);
  injector.EndAll();
  const Time quiet_end = end + kQuietTime;
  while (cluster.Step(quiet_end)) {
    if (cluster.environment().now() > end + absl::Seconds(12) && cluster.AllServed() &&
        cluster.Leader()) {
      break;
    }
  }
  CheckEnd(cluster);
}

}  // namespace

FaultPlan PlanOfSeed(uint64_t seed, Duration duration) {
  const ClusterSettings settings;
  return DrawFaultPlan(seed, duration, settings.nodes, settings.backends);
}

RunResult RunPlan(const FaultPlan& plan) {
  ClusterSettings settings;
  settings.seed = plan.seed;
  Cluster cluster(settings);
  RunResult result;
  try {
    RunAll(cluster, plan);
  } catch (const InvariantViolation& violation) {
    const Duration at = cluster.environment().now() - absl::UnixEpoch();
    result.violation = absl::StrCat("at ", absl::FormatDuration(at), ": ", violation.what());
  }
  result.counts = cluster.history().counts();
  return result;
}

FaultPlan Shrink(FaultPlan plan) {
  for (size_t i = plan.faults.size(); i-- > 0;) {
    FaultPlan smaller = plan;
    smaller.faults.erase(smaller.faults.begin() + static_cast<std::ptrdiff_t>(i));
    if (!RunPlan(smaller).violation.empty()) {
      plan = std::move(smaller);
    }
  }
  return plan;
}

}  // namespace ladderstream::simulation
