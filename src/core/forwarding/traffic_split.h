// Divides the requests of each route among its services by weight.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <random>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"

namespace ladderstream::forwarding {

/// Smooth weighted round robin: after n requests, each service is within one or two requests of its
/// exact share.
class TrafficSplit {
 public:
  /// Each split starts at a random position of its cycle, so that nodes do not run in lockstep.
  explicit TrafficSplit(std::mt19937_64& random) : random_(random) {}

  /// Replaces the routes with those of a new configuration. A route whose targets are unchanged
  /// continues its cycle.
  void SetRoutes(const std::vector<catalog::Route>& routes);

  /// Returns the service for the next request of `route`, which must be a route of the latest
  /// SetRoutes.
  const std::string& Next(const catalog::Route& route);

 private:
  struct Cycle {
    std::vector<catalog::RouteTarget> targets;
    /// How far each target is behind its share, in units of weight; the sum is zero.
    std::vector<double> credits;
  };

  static size_t Advance(Cycle& cycle);
  Cycle MakeCycle(const std::vector<catalog::RouteTarget>& targets);

  std::mt19937_64& random_;
  absl::flat_hash_map<std::string, Cycle> cycles_;
};

}  // namespace ladderstream::forwarding
