#include "standin/fleet/node_findings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace ladderstream::fleet {

void NodeFindings::OnRestart(size_t node) {
  if (told_to_end_.erase(node) == 0) {
    absl::StrAppend(&findings_, "node ", node, " ended by itself; ");
  }
}

void NodeFindings::CheckMemory(size_t node) {
  if (memory_mb_ == 0 || !nodes_->IsRunning(node)) {
    return;
  }
  const uint64_t used = nodes_->group().ReadPeakMemoryMb(nodes_->nodes()[node].name);
  most_memory_mb_ = std::max(most_memory_mb_, used);
  if (used > memory_mb_) {
    absl::StrAppend(&findings_, "node ", node, " used ", used, " MB of ", memory_mb_, "; ");
  }
}

}  // namespace ladderstream::fleet
