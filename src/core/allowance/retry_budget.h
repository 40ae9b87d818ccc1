// Bounds what one node sends beyond the first attempt of each request, in every window of time.
#pragma once

#include <cstdint>
#include <deque>

#include "wire/time.h"

namespace ladderstream::allowance {

/// What a budget is reckoned from. Shared by the budgets of all services of the node.
struct RetryLimits {
  /// Retries as a share of the requests in the window.
  double ratio = 0;
  /// Retries allowed on top, for this node alone.
  double slack = 0;
  Duration window = absl::Seconds(10);
  /// The slack grows from zero within one window from here: a process that restarted has forgotten
  /// what it sent before.
  Time started = absl::InfiniteFuture();
};

/// The retry budget of one service. Sliding: every span of one window holds at most the budget of
/// the requests up to its last retry.
class RetryBudget {
 public:
  void AddRequest(Time now) { requests_.push_back(now); }

  /// Whether a retry may be sent now, within this `share` of the budget.
  bool Allows(const RetryLimits& limits, double share, Time now);
  /// Charges a retry, to be called only when Allows().
  void Charge(Time now) { retries_.push_back(now); }
  /// Takes back the charge made at `charged`: the attempt surely never left.
  void Refund(Time charged);

 private:
  std::deque<Time> requests_;
  std::deque<Time> retries_;
};

}  // namespace ladderstream::allowance
