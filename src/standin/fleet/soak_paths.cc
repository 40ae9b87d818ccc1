#include "standin/fleet/soak_paths.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace ladderstream::fleet {
namespace {

/// Of the nodes, those that lose the path to the back ends.
constexpr double kHalf = 0.5;
constexpr double kCutShares[] = {0.3, 0.6, 0.9};

}  // namespace

void PathCutInjector::Strike(const SoakFault& fault) {
  constexpr CutMode kModes[] = {CutMode::kSilent, CutMode::kReset, CutMode::kNewConnections};
  const std::set<size_t> nodes = Choose(fault);
  mode_ = kModes[fault.target % std::size(kModes)];
  cut_nodes_.insert(nodes.begin(), nodes.end());
  Apply();
  later_(fault.lasts, [this, nodes] {
    for (const size_t node : nodes) {
      cut_nodes_.erase(cut_nodes_.find(node));
    }
    Apply();
  });
}

void PathCutInjector::Heal() {
  cut_nodes_.clear();
  Apply();
}

std::set<size_t> PathCutInjector::Choose(const SoakFault& fault) const {
  std::set<size_t> nodes;
  if (fault.kind == FaultKind::kZoneCutOff) {
    const size_t zones = fleet_->settings().zones.size();
    for (size_t node = fault.target % zones; node < node_count_; node += zones) {
      nodes.insert(node);
    }
    return nodes;
  }
  const bool with_coordinator = fault.kind == FaultKind::kCoordinatorCutOff;
  const size_t first = with_coordinator
                           ? fleet_->store().last_conditional_writer().value_or(0) % node_count_
                           : fault.target % node_count_;
  const double share = with_coordinator ? kHalf : kCutShares[fault.target % std::size(kCutShares)];
  const auto wanted = static_cast<size_t>(std::ceil(share * static_cast<double>(node_count_)));
  for (size_t i = 0; i < std::min(wanted, node_count_ - 1); ++i) {
    nodes.insert((first + i) % node_count_);
  }
  return nodes;
}

void PathCutInjector::Apply() {
  fleet_->CutOffFromBackends({cut_nodes_.begin(), cut_nodes_.end()}, mode_);
}

}  // namespace ladderstream::fleet
