// The nodes under test as processes, with settings that fit a fleet.
//
// Used from the thread that made it: see ProcessGroup.
#pragma once

#include <string>
#include <vector>

#include "standin/fleet/fleet.h"
#include "standin/processes/process_group.h"

namespace ladderstream::fleet {

struct NodeProcess {
  std::string name;
  std::string zone;
  NodeAddress address;
  Endpoint peers;
  /// Where other nodes are told to reach it.
  Endpoint peers_advertised;
  Endpoint metrics;
  /// The IP address that its connections to back ends come from.
  std::string source;
};

class NodeProcesses {
 public:
  /// Chooses addresses and writes the settings of `count` nodes, spread over the fleet's zones. The
  /// fleet's store has an entrance for each of them.
  NodeProcesses(Fleet* fleet, const std::string& program, size_t count);

  standin::ProcessGroup& group() { return group_; }
  const std::vector<NodeProcess>& nodes() const { return nodes_; }

  /// Other nodes are to reach this one by that address, which leads to its own. Before StartAll.
  void AdvertisePeers(size_t node, const Endpoint& address) {
    nodes_[node].peers_advertised = address;
  }

  /// Starts all nodes and tells the fleet of them.
  void StartAll();
  void Signal(size_t node, int signal) { group_.Signal(nodes_[node].name, signal); }
  void Kill(size_t node) { group_.Kill(nodes_[node].name); }
  void Restart(size_t node) { group_.Restart(nodes_[node].name); }
  bool IsRunning(size_t node) { return group_.IsRunning(nodes_[node].name); }
  size_t count() const { return nodes_.size(); }

  /// Runs the fleet until all nodes are ready and every key is held; false when that takes longer.
  bool AwaitReady(Duration timeout);

 private:
  std::string SettingsOf(size_t index) const;

  Fleet* fleet_;
  std::string program_;
  standin::ProcessGroup group_;
  std::vector<NodeProcess> nodes_;
};

/// `given`, or, when that is empty, ladderstream_node beside the program that runs.
std::string NodeProgramOr(const std::string& given);

/// One entrance for each of `nodes` nodes.
std::vector<Endpoint> EntrancesFor(size_t nodes);

}  // namespace ladderstream::fleet
