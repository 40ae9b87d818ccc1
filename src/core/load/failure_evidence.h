// How often the requests of one node fail at one back end, from few and old answers.
#pragma once

#include "wire/time.h"

namespace ladderstream::load {

/// Counts of failures and successes that fade with time. Pure; of one thread.
class FailureEvidence {
 public:
  void AddFailure(Time now) { Add(now, &failed_); }
  void AddSuccess(Time now) { Add(now, &served_); }

  /// Failures for each request served, as far as the answers of late show; 0 when none failed.
  double Odds(Time now) const;

 private:
  /// Adds one answer to `count`, one of the two below.
  void Add(Time now, double* count);
  /// What is left by `now` of the counts at `counted_at_`.
  double DecayFactor(Time now) const;

  double failed_ = 0;
  double served_ = 0;
  Time counted_at_ = absl::InfinitePast();
};

}  // namespace ladderstream::load
