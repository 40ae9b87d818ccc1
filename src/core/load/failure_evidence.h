// Estimates the failure rate of one node's requests at one back end from few and possibly old
// answers.
#pragma once

#include "wire/time.h"

namespace ladderstream::load {

/// Counts of failures and successes that decay exponentially with time. Pure; not thread-safe.
class FailureEvidence {
 public:
  void AddFailure(Time now) { Add(now, &failed_); }
  void AddSuccess(Time now) { Add(now, &served_); }

  /// Returns the number of failures per request served, weighted towards recent answers; 0 when no
  /// request failed.
  double Odds(Time now) const;

 private:
  /// Adds one answer to `count`, which is `failed_` or `served_`.
  void Add(Time now, double* count);
  /// Returns the factor by which the counts taken at `counted_at_` have decayed by `now`.
  double DecayFactor(Time now) const;

  double failed_ = 0;
  double served_ = 0;
  Time counted_at_ = absl::InfinitePast();
};

}  // namespace ladderstream::load
