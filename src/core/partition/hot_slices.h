// Finds slices of neighbouring keys that have just become far busier than they were.
#pragma once

#include <utility>
#include <vector>

#include "core/partition/key_load_tree.h"
#include "core/partition/recent_load.h"

namespace ladderstream::partition {

class HotSlice {
 public:
  /// `counts` are the recent requests in `range`, sorted by key.
  HotSlice(const KeyRange& range, double excess, double error, Time since,
           const std::vector<KeyCount>& counts);

  const KeyRange& range() const { return range_; }
  /// Requests per second above the calm load of these keys; zero for a moment when the slice has
  /// just calmed down.
  double excess() const { return excess_; }
  /// The standard error of that.
  double error() const { return error_; }
  Time since() const { return since_; }
  void set_since(Time since) { since_ = since; }

  /// The part of the excess that falls on `range`. Half of it is taken as spread evenly over the
  /// slice, half as counted: few counts say little of single keys.
  double ExcessIn(const KeyRange& range) const;

 private:
  double CountedBelow(Key key) const;

  KeyRange range_;
  double excess_;
  double error_;
  Time since_;
  /// Each busy key with the share of the counts up to and with it.
  std::vector<std::pair<Key, double>> counted_;
};

/// Compares the recent load with the calm one, whose rates are multiplied by `calm_scale`. Sorted
/// by key, without overlaps.
std::vector<HotSlice> FindHotSlices(const RecentLoad& recent, const KeyLoadTree& calm,
                                    double calm_scale, Time now);

/// The total rate of recent requests outside of `slices` over the calm rate of the same keys;
/// within bounds, 1 when little is known.
double CalmScale(const RecentLoad& recent, const KeyLoadTree& calm,
                 const std::vector<HotSlice>& slices, Time now);

}  // namespace ladderstream::partition
