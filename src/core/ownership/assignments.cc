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

Assignments Unowned() { return {Assignment{KeyRange{0, kLastKey}, "", 0}}; }

void AppendCoalesced(const Assignment& assignment, Assignments* assignments) {
  if (!assignments->empty() && assignments->back().owner == assignment.owner &&
      assignments->back().fence == assignment.fence) {
    assignments->back().range.last = assignment.range.last;
    return;
  }
  assignments->push_back(assignment);
}

void AssignRange(const KeyRange& range, const std::string& owner, Fence fence,
                 Assignments* assignments) {
  Assignments changed;
  changed.reserve(assignments->size() + 2);
  bool assigned = false;
  for (const Assignment& assignment : *assignments) {
    if (assignment.range.first < range.first) {
      const Key last = std::min(assignment.range.last, range.first - 1);
      AppendCoalesced({{assignment.range.first, last}, assignment.owner, assignment.fence},
                      &changed);
    }
    if (!assigned && assignment.range.last >= range.first) {
      AppendCoalesced({range, owner, fence}, &changed);
      assigned = true;
    }
    if (assignment.range.last > range.last) {
      const Key first = std::max(assignment.range.first, range.last + 1);
      AppendCoalesced({{first, assignment.range.last}, assignment.owner, assignment.fence},
                      &changed);
    }
  }
  *assignments = std::move(changed);
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
