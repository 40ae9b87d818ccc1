// Bounds what one node sends beyond the first attempt of each request, so that what all nodes send
// stays within the budget of the fleet in every window of time.
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

/// The retry budget of one service.
///
/// Each request earns `ratio` of a retry. What is not spent is kept, up to what the requests of a
/// small share of the window earn; the slack is spent where that is not enough, at most once in
/// each window. So in any window the nodes of a fleet together send at most `ratio` times the
/// requests of that window, what they had kept from the window before, and their slacks: wherever
/// callers go, and whichever nodes are new.
class RetryBudget {
 public:
  void AddRequest(const RetryLimits& limits, Time now);

  /// How many retries may be sent now.
  double Left(const RetryLimits& limits, Time now);
  /// Whether a retry may be sent now that leaves all but this `share` of a full budget unspent.
  bool Allows(const RetryLimits& limits, double share, Time now);
  /// Charges a retry, to be called only when Allows().
  void Charge(Time now);
  /// Takes back the charge made at `charged`: the attempt surely never left.
  void Refund(Time charged);

 private:
  struct SlackUse {
    Time at;
    double amount = 0;
  };

  /// Forgets what is older than the window, and what may not be kept.
  void Advance(const RetryLimits& limits, Time now);
  /// Of `slack`, what is left in this window.
  double SlackLeft(double slack) const;

  std::deque<Time> requests_;
  /// Retries earned by requests and not spent, and how many of them may be kept.
  double earned_ = 0;
  double most_kept_ = 0;
  std::deque<SlackUse> slack_uses_;
};

}  // namespace ladderstream::allowance
