// Bounds how many planned moves a service makes in a period.
//
// Not thread-safe; belongs to one service.
#pragma once

#include <algorithm>

#include "wire/time.h"

namespace ladderstream::placement {

/// A bucket that fills at a steady rate and holds one period's worth.
class MoveBudget {
 public:
  /// Takes one move out of the budget; false when it is used up. `per_period` may differ from call
  /// to call, as the number of shards does.
  bool TakeOne(double per_period, Duration period, Time now) {
    if (last_ == absl::InfinitePast()) {
      available_ = per_period;
    } else {
      available_ += per_period * absl::FDivDuration(now - last_, period);
    }
    available_ = std::min(available_, per_period);
    last_ = now;
    if (available_ < 1) {
      return false;
    }
    available_ -= 1;
    return true;
  }

 private:
  double available_ = 0;
  Time last_ = absl::InfinitePast();
};

}  // namespace ladderstream::placement
