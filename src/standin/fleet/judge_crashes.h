// Requests that end the back ends that run them, and those that are refused for it.
#pragma once

#include "standin/fleet/history.h"
#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// Judges how often a request still reaches back ends once three have ended under it, and that no
/// request is refused for crashes under which no back end has ended.
void JudgeCrashes(const History& history, Verdict* verdict);

}  // namespace ladderstream::fleet
