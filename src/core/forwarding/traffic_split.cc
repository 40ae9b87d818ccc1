#include "core/forwarding/traffic_split.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream::forwarding {
namespace {

/// A new cycle is advanced by a random number of steps below this.
constexpr uint64_t kMaxInitialSteps = 100;

}  // namespace

void TrafficSplit::SetRoutes(const std::vector<catalog::Route>& routes) {
  absl::flat_hash_map<std::string, Cycle> cycles;
  for (const catalog::Route& route : routes) {
    if (route.targets.size() < 2) {
      continue;
    }
    const auto known = cycles_.find(route.name);
    const bool unchanged = known != cycles_.end() && known->second.targets == route.targets;
    cycles.emplace(route.name, unchanged ? std::move(known->second) : MakeCycle(route.targets));
  }
  cycles_ = std::move(cycles);
}

const std::string& TrafficSplit::Next(const catalog::Route& route) {
  const auto cycle = cycles_.find(route.name);
  if (cycle == cycles_.end()) {
    return route.targets.front().service;
  }
  return route.targets[Advance(cycle->second)].service;
}

size_t TrafficSplit::Advance(Cycle& cycle) {
  double total = 0;
  for (size_t i = 0; i < cycle.targets.size(); ++i) {
    cycle.credits[i] += cycle.targets[i].weight;
    total += cycle.targets[i].weight;
  }
  const auto largest = std::max_element(cycle.credits.begin(), cycle.credits.end());
  *largest -= total;
  return static_cast<size_t>(std::distance(cycle.credits.begin(), largest));
}

TrafficSplit::Cycle TrafficSplit::MakeCycle(const std::vector<catalog::RouteTarget>& targets) {
  Cycle cycle{targets, std::vector<double>(targets.size(), 0)};
  for (uint64_t steps = random_() % kMaxInitialSteps; steps > 0; --steps) {
    Advance(cycle);
  }
  return cycle;
}

}  // namespace ladderstream::forwarding
