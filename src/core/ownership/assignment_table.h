// The committed assignment of one service. The cost of a change does not depend on the number of
// ranges.
#pragma once

#include <map>
#include <string>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

class AssignmentTable {
 public:
  /// Creates a table in which no key has an owner.
  AssignmentTable();
  /// `assignments` must be contiguous. Assign() and Slice() accept only keys within them.
  explicit AssignmentTable(const Assignments& assignments);

  /// Assigns `range` to `owner` under `fence`, splitting ranges that overlap it. Adjacent ranges
  /// with equal owner and fence are merged.
  void Assign(const KeyRange& range, const std::string& owner, Fence fence);
  /// Returns the assignments of `range`, clipped to it.
  Assignments Slice(const KeyRange& range) const;

 private:
  struct Entry {
    Key last = kLastKey;
    std::string owner;
    Fence fence = 0;
  };
  using Entries = std::map<Key, Entry>;

  Entries::const_iterator Find(Key key) const;
  /// Splits the range that contains `first` so that a range begins there. No effect if `first` is
  /// beyond the last key.
  void CutAt(Key first);
  /// Merges the range that begins at `first` into the previous one if owner and fence are equal.
  void MergeWithPrevious(Key first);

  Entries entries_;
};

}  // namespace ladderstream::ownership
