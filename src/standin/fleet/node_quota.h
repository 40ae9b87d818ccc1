// Holds nodes to a share of a core: each runs at full speed until its share of a period is spent,
// and stands still for the rest.
//
// Used from the thread that made the processes: see ProcessGroup.
#pragma once

#include <functional>
#include <vector>

#include "standin/fleet/node_processes.h"
#include "wire/time.h"

namespace ladderstream::fleet {

class NodeQuota {
 public:
  /// How often Enforce is to be called; a node may spend this much beyond its share.
  static constexpr Duration kInterval = absl::Milliseconds(5);

  /// `is_paused` tells of nodes that stand still for another reason and are left alone.
  NodeQuota(NodeProcesses* nodes, double share, std::function<bool(size_t)> is_paused);

  void Enforce(Time now);

 private:
  struct Spending {
    pid_t process = 0;
    Duration at_period_start;
    bool stopped = false;
  };

  void Check(size_t node, bool new_period);

  NodeProcesses* nodes_;
  Duration share_;
  std::function<bool(size_t)> is_paused_;
  std::vector<Spending> spendings_;
  Time period_end_ = absl::InfinitePast();
};

}  // namespace ladderstream::fleet
