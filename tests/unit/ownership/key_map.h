// A map from every key to a value, stored as ranges.
#pragma once

#include <algorithm>
#include <iterator>
#include <map>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

template <typename Value>
class KeyMap {
 public:
  KeyMap() { starts_[0] = Value{}; }

  const Value& At(Key key) const { return std::prev(starts_.upper_bound(key))->second; }

  /// Calls `change(Value&)` for every stored range in `range`, splitting ranges at its ends.
  template <typename Change>
  void Update(const KeyRange& range, Change change) {
    Cut(range.first);
    Cut(range.last + 1);
    for (auto it = starts_.find(range.first); it != starts_.end() && it->first <= range.last;
         ++it) {
      change(it->second);
    }
  }

  /// Calls `visit(KeyRange, const Value&)` for every stored range that overlaps `range`, clipped to
  /// it.
  template <typename Visit>
  void ForEach(const KeyRange& range, Visit visit) const {
    for (auto it = std::prev(starts_.upper_bound(range.first));
         it != starts_.end() && it->first <= range.last; ++it) {
      const auto next = std::next(it);
      const Key end = next == starts_.end() ? kLastKey + 1 : next->first;
      visit(KeyRange{std::max(it->first, range.first), std::min(end - 1, range.last)}, it->second);
    }
  }

 private:
  void Cut(Key first) {
    if (first <= kLastKey && !starts_.contains(first)) {
      starts_[first] = At(first);
    }
  }

  std::map<Key, Value> starts_;
};

}  // namespace ladderstream::ownership
