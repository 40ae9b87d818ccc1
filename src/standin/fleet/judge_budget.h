// The judge's part about repeats: what nodes send beyond the first attempt of each request.
#pragma once

#include "standin/fleet/history.h"
#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// Finds services that got more repeats within some window than their share of the requests.
void JudgeBudget(const History& history, const JudgeBounds& bounds, Verdict* verdict);

}  // namespace ladderstream::fleet
