// Four routes of services without keys, side by side on one host, that move between services, are
// split, removed and added again.
#pragma once

#include "standin/fleet/probe_plan.h"

namespace ladderstream::fleet {

/// Adds the routes that RouteSwaps changes.
void AddSwappedRoutes(catalog::Configuration* configuration);

class RouteSwaps : public ProbePlan {
 public:
  RouteSwaps();

  const std::vector<ProbePlace>& places() const override { return places_; }
  /// `target` chooses the route.
  std::vector<size_t> Change(uint64_t target, std::mt19937_64* random,
                             catalog::Configuration* next) const override;
  ConfigurationEncoding NextEncoding(std::mt19937_64* /*random*/) const override { return {}; }

 private:
  std::vector<ProbePlace> places_;
};

}  // namespace ladderstream::fleet
