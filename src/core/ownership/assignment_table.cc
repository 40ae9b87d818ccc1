#include "core/ownership/assignment_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream::ownership {

AssignmentTable::AssignmentTable() { entries_.emplace(0, Entry()); }

AssignmentTable::AssignmentTable(const Assignments& assignments) {
  for (const Assignment& assignment : assignments) {
    entries_.emplace_hint(entries_.end(), assignment.range.first,
                          Entry{assignment.range.last, assignment.owner, assignment.fence});
  }
}

AssignmentTable::Entries::const_iterator AssignmentTable::Find(Key key) const {
  return std::prev(entries_.upper_bound(key));
}

void AssignmentTable::CutAt(Key first) {
  const auto found = std::prev(entries_.upper_bound(first));
  if (found->first == first || found->second.last < first) {
    return;
  }
  Entry tail = found->second;
  found->second.last = first - 1;
  entries_.emplace_hint(std::next(found), first, std::move(tail));
}

void AssignmentTable::MergeWithPrevious(Key first) {
  const auto entry = entries_.find(first);
  if (entry == entries_.end() || entry == entries_.begin()) {
    return;
  }
  Entry& previous = std::prev(entry)->second;
  if (previous.owner == entry->second.owner && previous.fence == entry->second.fence) {
    previous.last = entry->second.last;
    entries_.erase(entry);
  }
}

void AssignmentTable::Assign(const KeyRange& range, const std::string& owner, Fence fence) {
  CutAt(range.first);
  CutAt(range.last + 1);
  const auto begin = entries_.find(range.first);
  begin->second = {range.last, owner, fence};
  entries_.erase(std::next(begin), entries_.upper_bound(range.last));
  MergeWithPrevious(range.last + 1);
  MergeWithPrevious(range.first);
}

Assignments AssignmentTable::Slice(const KeyRange& range) const {
  Assignments slice;
  for (auto entry = Find(range.first); entry != entries_.end() && entry->first <= range.last;
       ++entry) {
    const auto& [first, held] = *entry;
    slice.push_back(
        {{std::max(first, range.first), std::min(held.last, range.last)}, held.owner, held.fence});
  }
  return slice;
}

}  // namespace ladderstream::ownership
