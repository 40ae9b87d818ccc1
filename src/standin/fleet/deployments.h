// Fleets that are ready made, with the calls that go with them.
#pragma once

#include <string>
#include <vector>

#include "standin/fleet/callers.h"
#include "standin/fleet/fleet.h"

namespace ladderstream::fleet {

struct Deployment {
  FleetSettings fleet;
  std::vector<RequestClass> load;
};

/// One service divided by key, one whose requests run at most once, and one other; small and quick.
Deployment SmallDeployment();

/// "small", "bretagne" (call centres), "tirol" (puzzles) or "texas" (ticket sales, of some 200 back
/// ends). Throws Error(kUnknownName) for any other.
Deployment FindDeployment(const std::string& name);

/// Adds two services, one of them divided by key, that no route leads to.
void AddUnaskedServices(Deployment* deployment);

}  // namespace ladderstream::fleet
