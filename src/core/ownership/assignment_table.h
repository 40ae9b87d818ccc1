// The committed assignment of one service, changed range by range at a cost that does not grow with
// the number of ranges.
#pragma once

#include <map>
#include <string>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

class AssignmentTable {
 public:
  /// Nobody owns any key.
  AssignmentTable();
  /// `assignments` adjoin each other; what is asked and assigned lies among their keys.
  explicit AssignmentTable(const Assignments& assignments);

  /// Gives `range` to `owner` under `fence`, cutting what it overlaps; neighbours that agree in
  /// owner and fence become one.
  void Assign(const KeyRange& range, const std::string& owner, Fence fence);
  /// What holds in `range`, cut at its ends.
  Assignments Slice(const KeyRange& range) const;

 private:
  struct Entry {
    Key last = kLastKey;
    std::string owner;
    Fence fence = 0;
  };
  using Entries = std::map<Key, Entry>;

  Entries::const_iterator Find(Key key) const;
  /// Makes a range begin at `first`, unless that lies behind all keys.
  void CutAt(Key first);
  /// Joins the range that begins at `first` with the one before it, if both agree.
  void MergeWithPrevious(Key first);

  Entries entries_;
};

}  // namespace ladderstream::ownership
