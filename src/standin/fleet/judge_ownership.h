// The judge's part about keys: who held them when, and under which fence.
#pragma once

#include "standin/fleet/history.h"
#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// Finds times when two back ends held one key, and fences that did not rise.
void JudgeOwnership(const History& history, Verdict* verdict);

}  // namespace ladderstream::fleet
