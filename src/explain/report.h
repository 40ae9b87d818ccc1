// Writes an explanation as a table for people or as JSON for programs.
#pragma once

#include <ostream>

#include "explain/explanation.h"

namespace ladderstream::explain {

/// The cause in sentences, then every line with its offset from the request's first.
void WriteTable(const Explanation& explanation, const std::vector<RequestTimeline>& timelines,
                std::ostream& out);

/// One object: "request", "lines" (events, others, bad), "timelines", and "hints" if there are no
/// timelines.
void WriteJson(const Explanation& explanation, const std::vector<RequestTimeline>& timelines,
               std::ostream& out);

}  // namespace ladderstream::explain
