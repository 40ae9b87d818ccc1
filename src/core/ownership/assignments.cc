#include "core/ownership/assignments.h"

#include <algorithm>

namespace ladderstream::ownership {

const Assignment* FindAssignment(const Assignments& assignments, Key key) {
  const auto found = std::partition_point(
      assignments.begin(), assignments.end(),
      [key](const Assignment& assignment) { return assignment.range.last < key; });
  if (found == assignments.end() || !found->range.Contains(key)) {
    return nullptr;
  }
  return &*found;
}

void AppendCoalesced(const Assignment& assignment, Assignments* assignments) {
  if (!assignments->empty() && assignments->back().owner == assignment.owner &&
      assignments->back().fence == assignment.fence) {
    assignments->back().range.last = assignment.range.last;
    return;
  }
  assignments->push_back(assignment);
}

bool CoversAllKeys(const Assignments& assignments) {
  Key next = 0;
  for (const Assignment& assignment : assignments) {
    if (assignment.range.first != next || assignment.range.last < assignment.range.first ||
        assignment.range.last > kLastKey) {
      return false;
    }
    next = assignment.range.last + 1;
  }
  return next == kLastKey + 1;
}

}  // namespace ladderstream::ownership
