// What back ends ask of a node with their answers: rest, or nothing more since they leave.
#pragma once

#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// Adds work that a node gave a back end after its wish to Verdict::over_budget (rest) and
/// Verdict::after_drain (leaving), and what all nodes together sent beyond a limit to
/// Verdict::over_budget.
void JudgeWishes(const History& history, const JudgeBounds& bounds, Verdict* verdict);

}  // namespace ladderstream::fleet
