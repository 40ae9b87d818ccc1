// Changes of every part of a configuration, drawn by a seed.
//
// Pure: no I/O and no clock.
#pragma once

#include "standin/fleet/probe_plan.h"

namespace ladderstream::fleet {

/// Routes under prefixes of one another, on hosts that come and go, to services with and without
/// keys; their time-outs, priorities, attempts and kinds, the limits of callers, and many routes
/// that nobody asks for.
class ConfigurationDraws : public ProbePlan {
 public:
  explicit ConfigurationDraws(uint64_t seed);

  const std::vector<ProbePlace>& places() const override { return places_; }
  std::vector<size_t> Change(uint64_t target, std::mt19937_64* random,
                             catalog::Configuration* next) const override;
  ConfigurationEncoding NextEncoding(std::mt19937_64* random) const override;

  /// Gives some of the places a route.
  void AddFirstRoutes(catalog::Configuration* configuration) const;

 private:
  catalog::Route DrawRoute(size_t place, const catalog::Configuration& configuration,
                           std::mt19937_64* random) const;
  void ChangeRouteOf(size_t place, std::mt19937_64* random, catalog::Configuration* next) const;

  uint64_t seed_;
  std::vector<ProbePlace> places_;
};

}  // namespace ladderstream::fleet
