// Bounds the time that the coordinator spends on sending full maps and full lists of members.
//
// Both are large where there are many nodes and ranges, and after a start of the entire fleet all
// nodes lack them at once: encoding them for each of 300 reports would cost the coordinator its
// lease. So one report per interval is answered with full copies; for the other nodes that need
// them they are encoded once and sent together at the end of the interval.
//
// Deterministic: no I/O, no thread, no clock.
#pragma once

#include <utility>
#include <vector>

#include "core/membership/member_table.h"
#include "wire/time.h"

namespace ladderstream::membership {

class FullCopies {
 public:
  /// Returns whether a report may be answered with full copies now; otherwise adds `node` to those
  /// that receive them when they are due.
  bool Grant(const Destination& node, Time now) {
    if (now >= next_) {
      next_ = now + kInterval;
      return true;
    }
    waiting_.push_back(node);
    return false;
  }
  bool Due(Time now) const { return !waiting_.empty() && now >= next_; }
  /// Returns the waiting nodes and starts a new interval.
  std::vector<Destination> Take(Time now) {
    next_ = now + kInterval;
    return std::exchange(waiting_, {});
  }
  void Clear() { waiting_.clear(); }
  Time NextWake() const { return waiting_.empty() ? absl::InfiniteFuture() : next_; }

 private:
  /// Encoding and compressing a map of 1,200 ranges takes an estimated 2 ms of processor time
  /// (100 ranges took 32 us uncompressed), which is 4% of a core at this interval.
  static constexpr Duration kInterval = absl::Milliseconds(50);

  Time next_ = absl::InfinitePast();
  std::vector<Destination> waiting_;
};

}  // namespace ladderstream::membership
