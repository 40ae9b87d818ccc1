// Notes what no node of a soak may do: end by itself, or use more memory than it has.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "standin/fleet/node_processes.h"

namespace ladderstream::fleet {

class NodeFindings {
 public:
  /// `memory_mb`: of one node; 0: no bound. `nodes` outlives this.
  NodeFindings(NodeProcesses* nodes, uint32_t memory_mb) : nodes_(nodes), memory_mb_(memory_mb) {}

  /// The node's process is about to be killed or stopped.
  void OnToldToEnd(size_t node) { told_to_end_.insert(node); }
  /// The node's process has ended and is about to be started again.
  void OnRestart(size_t node);
  /// Looks at how much memory the node's process has used; before its end, at the latest.
  void CheckMemory(size_t node);

  /// In words; empty when there are none.
  const std::string& findings() const { return findings_; }
  /// The most memory that a node has used, in megabytes; 0 when there is no bound.
  uint64_t most_memory_mb() const { return most_memory_mb_; }

 private:
  NodeProcesses* nodes_;
  uint32_t memory_mb_;
  std::set<size_t> told_to_end_;
  uint64_t most_memory_mb_ = 0;
  std::string findings_;
};

}  // namespace ladderstream::fleet
