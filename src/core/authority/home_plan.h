// Which node holds each back end's connections and queue.
//
// A home near the back end is preferred, homes are spread evenly, and few of them change. No state.
#pragma once

#include <vector>

#include "core/authority/ownership_state.h"
#include "wire/command.h"

namespace ladderstream::authority {

/// Gives the homes to set so that every configured back end has one among `nodes` (live ones that
/// are not leaving). With `may_rebalance`, moves one home more that is in the wrong zone or on a
/// crowded node.
std::vector<SetHome> PlanHomes(const OwnershipState& state,
                               const std::vector<NodeDescriptor>& nodes, bool may_rebalance);

}  // namespace ladderstream::authority
