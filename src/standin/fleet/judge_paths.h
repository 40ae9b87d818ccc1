// Whether nodes that were cut off from the back ends still served their callers.
#pragma once

#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// Adds to Verdict::unserved_when_cut the times in which callers' first tries at nodes that were
/// cut off from all back ends fared far worse than those at the others.
void JudgePaths(const History& history, const JudgeBounds& bounds, Verdict* verdict);

}  // namespace ladderstream::fleet
