// The judge's part about the configuration: whether each request was handled as a version allows
// that may be in force.
#pragma once

#include "standin/fleet/history.h"
#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// The route of `configuration` for the attempt; null when it has none.
const catalog::Route* FindRoute(const catalog::Configuration& configuration,
                                const Attempt& attempt);

/// Finds requests handled by an outdated version or after a return to an older one, routes that are
/// not served, requests held past their time-out, and splits that are off their weights.
void JudgeConfiguration(const History& history, const JudgeBounds& bounds, Verdict* verdict);

}  // namespace ladderstream::fleet
