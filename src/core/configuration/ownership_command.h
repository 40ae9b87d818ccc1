// Turns an operator's wish about ownership into commands for the group's log. No I/O.
//
// Such commands need no table service. Each is harmless when sent again.
#pragma once

#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "wire/command.h"
#include "wire/identifiers.h"

namespace ladderstream::configuration {

/// Gives the command that drains a back end or ends its draining. Throws
/// ConfigurationError(kUnknownName).
SetDraining PlanDraining(const authority::RoutingState& state, const BackendId& backend,
                         bool draining);

/// A key and where it shall go.
struct KeyMove {
  ServiceName service;
  std::string key;
  BackendId target;
};

/// Gives the commands that move the key, in order; none when it is there already or on its way.
/// Throws ConfigurationError: kUnknownName for a service or back end that does not exist,
/// kMoveRefused for a move that cannot be made now, kInvalidConfiguration for a key that is not the
/// service's.
std::vector<Command> PlanMove(const authority::RoutingState& state, const KeyMove& move);

/// Throws ConfigurationError(kStillInUse) when the back end owns a shard or is giving one up.
void RequireOwnsNothing(const authority::RoutingState& state, const BackendId& backend);

}  // namespace ladderstream::configuration
