#include "core/authority/home_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace ladderstream::authority {
namespace {

class HomePlanner {
 public:
  HomePlanner(const OwnershipState& state, const std::vector<NodeDescriptor>& nodes)
      : state_(state) {
    for (const NodeDescriptor& node : nodes) {
      nodes_[node.id] = {node.zone, 0};
    }
    for (const auto& [backend, record] : state.backends()) {
      const auto home = nodes_.find(record.home.id);
      if (home != nodes_.end()) {
        ++home->second.homes;
      }
    }
  }

  std::vector<SetHome> FillMissing() {
    std::vector<SetHome> changes;
    for (const BackendConfiguration& backend : state_.configuration().backends) {
      if (nodes_.contains(HomeOf(backend.id))) {
        continue;
      }
      const auto best = Best(backend.zone);
      if (best) {
        ++nodes_[*best].homes;
        changes.push_back({backend.id, *best});
      }
    }
    return changes;
  }

  std::optional<SetHome> Improve() const {
    for (const BackendConfiguration& backend : state_.configuration().backends) {
      const auto home = nodes_.find(HomeOf(backend.id));
      const auto best = Best(backend.zone);
      if (home == nodes_.end() || !best || *best == home->first) {
        continue;
      }
      const Node& better = nodes_.at(*best);
      const bool nearer = better.zone == backend.zone && home->second.zone != backend.zone;
      const bool as_near = (better.zone == backend.zone) == (home->second.zone == backend.zone);
      const bool crowded = home->second.homes > better.homes + 1;
      if (nearer || (as_near && crowded)) {
        return SetHome{backend.id, *best};
      }
    }
    return std::nullopt;
  }

 private:
  struct Node {
    std::string zone;
    size_t homes = 0;
  };

  NodeId HomeOf(const BackendId& backend) const {
    const BackendRecord* const record = state_.FindBackendRecord(backend);
    return record == nullptr ? NodeId() : record->home.id;
  }

  /// The node with the fewest homes in the zone, or anywhere if the zone has none.
  std::optional<NodeId> Best(const std::string& zone) const {
    const auto rank = [&zone](const auto& node) {
      return std::pair(node.second.zone != zone, node.second.homes);
    };
    const auto best = std::min_element(
        nodes_.begin(), nodes_.end(),
        [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
    return best == nodes_.end() ? std::nullopt : std::optional(best->first);
  }

  const OwnershipState& state_;
  std::map<NodeId, Node> nodes_;
};

}  // namespace

std::vector<SetHome> PlanHomes(const OwnershipState& state,
                               const std::vector<NodeDescriptor>& nodes, bool may_rebalance) {
  HomePlanner planner(state, nodes);
  std::vector<SetHome> changes = planner.FillMissing();
  if (changes.empty() && may_rebalance) {
    if (const auto improvement = planner.Improve()) {
      changes.push_back(*improvement);
    }
  }
  return changes;
}

}  // namespace ladderstream::authority
