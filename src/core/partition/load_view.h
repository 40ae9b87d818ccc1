// The load expected of any range of keys in the next seconds: the calm load, plus what is hot now.
#pragma once

#include <vector>

#include "core/partition/hot_slices.h"
#include "core/partition/key_load_tree.h"

namespace ladderstream::partition {

/// A range too small or too calm to be worth cutting.
struct Cell {
  KeyRange range;
  /// Requests per second, and how many of these are hot.
  double rate = 0;
  double hot = 0;
};

struct Rate {
  /// Requests per second.
  double total = 0;
  double hot = 0;
  /// The variance of `total` as an estimate.
  double variance = 0;
};

class LoadView {
 public:
  LoadView(const KeyLoadTree& calm, double calm_scale, const std::vector<HotSlice>& hot);

  Rate Of(const KeyRange& range) const;
  /// Cuts a range into cells of at most `max_rate` each, single keys excepted. The finer the cell
  /// and the fewer its counts, the more it is taken as its surroundings are, so that chance does
  /// not pass for a busy key.
  std::vector<Cell> Cells(const KeyRange& range, double max_rate) const;

 private:
  double HotIn(const KeyRange& range) const;
  void Cut(const KeyLoadTree::Node& node, double calm_rate, const KeyRange& range, double max_rate,
           std::vector<Cell>& cells) const;

  const KeyLoadTree& calm_;
  /// Turns decayed counts into requests per second.
  double per_count_;
  const std::vector<HotSlice>& hot_;
};

}  // namespace ladderstream::partition
