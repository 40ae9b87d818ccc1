// Puts what decided a request into sentences.
#pragma once

#include <string>
#include <vector>

#include "explain/explanation.h"

namespace ladderstream::explain {

/// Reads the timeline from its last line backwards: how it ended, what was tried, and what the node
/// believed of what it named. Never empty.
std::vector<std::string> FindCause(const RequestTimeline& timeline);

}  // namespace ladderstream::explain
