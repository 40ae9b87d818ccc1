// Requests per key, decayed over time, with sums over any range of keys.
//
// A segment tree over all 65,536 keys in half a megabyte. Decay costs nothing per key: new counts
// are weighted up instead, and everything is scaled down now and then.
#pragma once

#include <vector>

#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::partition {

using ownership::Key;
using ownership::KeyRange;

class KeyLoadTree {
 public:
  /// A node of the tree, for walks from the top; its keys are a power of two many.
  struct Node {
    size_t index = 1;
    KeyRange range{0, ownership::kLastKey};

    Node Left() const;
    Node Right() const;
  };

  /// Counts lose half of their weight every `half_life`.
  explicit KeyLoadTree(Duration half_life);

  /// Decays by `elapsed`, during which the counts that follow were gathered; `observed` of it is
  /// credited as time of observation.
  void Advance(Duration elapsed, Duration observed);
  void Add(Key key, double count);

  /// Decayed count of a range.
  double Count(const KeyRange& range) const;
  double Count(const Node& node) const { return sums_[node.index] / growth_; }
  double Total() const { return Count(Node{}); }
  /// Decayed time of observation, in seconds. Count over this is a rate.
  double ObservedSeconds() const { return observed_ / growth_; }

 private:
  void ScaleDown();

  double half_life_seconds_;
  /// What a count of now weighs against one stored at scale 1.
  double growth_ = 1;
  double observed_ = 0;
  /// Node i has the children 2i and 2i+1; the keys are the last half.
  std::vector<float> sums_;
};

}  // namespace ladderstream::partition
