// How many calls this node may make: a token bucket over time that is handed in.
#pragma once

#include "wire/time.h"

namespace ladderstream::gateway {

class CallAllowance {
 public:
  /// `rate` in calls a second; up to a second's worth, at least `smallest_burst`, may be made at
  /// once.
  CallAllowance(double rate, double smallest_burst);

  /// Changes the rate from `now` on.
  void SetRate(double rate, Time now);
  double rate() const { return rate_; }
  /// Whether a call may be made now; counts it when so.
  bool TryTake(Time now);

 private:
  void Refill(Time now);
  double Burst() const;

  double rate_;
  double smallest_burst_;
  double tokens_;
  Time last_refill_ = absl::InfinitePast();
};

}  // namespace ladderstream::gateway
