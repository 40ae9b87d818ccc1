// Divides the requests of each route among its services by weight, with low discrepancy.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <random>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"

namespace ladderstream::forwarding {

/// Smooth weighted round robin: after n requests, each service is within one or two requests of
/// its exact share.
class TrafficSplit {
 public:
  /// Each split starts at a random place of its cycle, so that nodes do not move in step.
  explicit TrafficSplit(std::mt19937_64& random) : random_(random) {}

  /// Takes over the routes of a new configuration. A route whose targets did not change goes on
  /// where it was.
  void SetRoutes(const std::vector<catalog::Route>& routes);

  /// The service for the next request of `route`, a route of the newest SetRoutes.
  const std::string& Next(const catalog::Route& route);

 private:
  struct Cycle {
    std::vector<catalog::RouteTarget> targets;
    /// How far each target is behind its share, in units of weight; sums to zero.
    std::vector<double> credits;
  };

  static size_t Advance(Cycle& cycle);
  Cycle MakeCycle(const std::vector<catalog::RouteTarget>& targets);

  std::mt19937_64& random_;
  absl::flat_hash_map<std::string, Cycle> cycles_;
};

}  // namespace ladderstream::forwarding
