// Bounds what the coordinator spends on whole maps and whole lists of members.
//
// Both are long where nodes and ranges are many, and after a start of the whole fleet everybody
// lacks them at once: encoding one for each of 300 reports would cost the coordinator its lease. So
// one report in a while is answered with them; for the others that ask meanwhile they are encoded
// once, and sent together at the end of the while.
//
// Pure: no I/O, no thread, no clock.
#pragma once

#include <utility>
#include <vector>

#include "core/membership/member_table.h"
#include "wire/time.h"

namespace ladderstream::membership {

class FullCopies {
 public:
  /// Whether a report may be answered with whole copies now; else `node` is one of those that
  /// get them when they are due.
  bool Grant(const Destination& node, Time now) {
    if (now >= next_) {
      next_ = now + kInterval;
      return true;
    }
    waiting_.push_back(node);
    return false;
  }
  bool Due(Time now) const { return !waiting_.empty() && now >= next_; }
  /// Those that wait; the next ones have to wait for an interval from now.
  std::vector<Destination> Take(Time now) {
    next_ = now + kInterval;
    return std::exchange(waiting_, {});
  }
  void Clear() { waiting_.clear(); }
  Time NextWake() const { return waiting_.empty() ? absl::InfiniteFuture() : next_; }

 private:
  /// A map of 1,200 ranges takes some 2 ms of processor time to encode and compress (assumed from
  /// the 32 us that 100 ranges took uncompressed, design note 014): 4% of a core at this interval.
  static constexpr Duration kInterval = absl::Milliseconds(50);

  Time next_ = absl::InfinitePast();
  std::vector<Destination> waiting_;
};

}  // namespace ladderstream::membership
