// The deployment of a trace inside the simulation, with load reports and faults.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/routing/load_sketch.h"
#include "core/routing/route_table.h"
#include "rehearsal/deployment_spec.h"
#include "rehearsal/fault_schedule.h"
#include "rehearsal/judge.h"
#include "rehearsal/trace.h"
#include "simulation/cluster.h"

namespace ladderstream::rehearsal {

/// Not thread-safe.
class ReplayedCluster {
 public:
  ReplayedCluster(const Trace& trace, const DeploymentSpec& deployment);

  /// Starts the processes and runs until every key has an owner.
  void Start();
  /// Brings the trace's faults about, `from` being the moment at which the trace begins.
  void ScheduleFaults(const std::vector<Fault>& faults, absl::Time from);

  /// The node's present routes, or nullptr when the node is not alive.
  std::shared_ptr<const routing::RouteTable> Routes(size_t node);
  /// Counts a request for the node's load report.
  void RecordLoad(size_t node, const routing::ServiceRoute& service, const std::string& key,
                  const BackendId& backend);

  /// Runs the next event; gives false at `end`. Checks the owners now and then.
  bool Step(absl::Time end);

  simulation::Cluster& simulation() { return simulation_; }
  const DeploymentSpec& deployment() const { return deployment_; }
  absl::Time now() { return simulation_.environment().now(); }
  /// The index of the back end in the simulation.
  size_t IndexOf(const BackendId& backend) const;

  /// What the judge wants to know about who took part.
  void AddPresenceTo(Evidence& evidence, absl::Time from, absl::Time until) const;

 private:
  struct Node {
    std::unique_ptr<routing::StateRegistry> states;
    std::shared_ptr<const routing::RouteTable> routes;
    NodeId process;
    absl::Time built = absl::InfinitePast();
    std::map<ShardId, uint64_t> requests;
    std::map<BackendId, uint64_t> attempts;
  };
  struct Absence {
    std::string backend;
    absl::Time from;
    absl::Time until;
  };

  bool EveryKeyIsServed();
  void ReportLoad(size_t node);
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void Drain(const std::string& backend, bool draining);
  void MoveKey(const Fault& fault);
  simulation::NodeProcess* AnyNode();
  size_t NodeIndex(const std::string& name) const;

  const DeploymentSpec& deployment_;
  simulation::Cluster simulation_;
  std::vector<Node> nodes_;
  std::vector<Absence> absences_;
  std::vector<Leaving> leaving_;
  uint64_t steps_ = 0;
};

}  // namespace ladderstream::rehearsal
