#include "core/allowance/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace ladderstream::allowance {
namespace {

/// Retries are kept for so large a share of the requests of the last window. With the node's ratio
/// of 0.85 of the fleet's, all nodes together stay within 0.85 x 1.17 = 0.99 of it. Where a whole
/// window's retries could be kept, nodes whose callers moved on had spent theirs when the nodes to
/// which the callers went spent the same again: up to 1.34 of the fleet's budget in the model of
/// the unit test fleet_retry_budget.
constexpr double kKeptShare = 0.17;

/// The slack that this process may use.
double SlackNow(const RetryLimits& limits, Time now) {
  const double age = absl::FDivDuration(now - limits.started, limits.window);
  return limits.slack * std::clamp(age, 0.0, 1.0);
}

}  // namespace

void RetryBudget::AddRequest(const RetryLimits& limits, Time now) {
  requests_.push_back(now);
  earned_ += limits.ratio;
  Advance(limits, now);
}

void RetryBudget::Advance(const RetryLimits& limits, Time now) {
  const Time start = now - limits.window;
  while (!requests_.empty() && requests_.front() < start) {
    requests_.pop_front();
  }
  while (!slack_uses_.empty() && slack_uses_.front().at < start) {
    slack_uses_.pop_front();
  }
  most_kept_ = limits.ratio * kKeptShare * static_cast<double>(requests_.size());
  earned_ = std::min(earned_, most_kept_);
}

double RetryBudget::SlackLeft(double slack) const {
  const double used =
      std::accumulate(slack_uses_.begin(), slack_uses_.end(), 0.0,
                      [](double sum, const SlackUse& use) { return sum + use.amount; });
  return std::max(slack - used, 0.0);
}

double RetryBudget::Left(const RetryLimits& limits, Time now) {
  Advance(limits, now);
  return earned_ + SlackLeft(SlackNow(limits, now));
}

bool RetryBudget::Allows(const RetryLimits& limits, double share, Time now) {
  const double left = Left(limits, now);
  const double untouched = (1 - share) * (most_kept_ + SlackNow(limits, now));
  return left - 1 >= untouched;
}

void RetryBudget::Charge(Time now) {
  const double from_earned = std::min(earned_, 1.0);
  earned_ -= from_earned;
  if (from_earned < 1) {
    slack_uses_.push_back({now, 1 - from_earned});
  }
}

void RetryBudget::Refund(Time charged) {
  const auto use = std::find_if(slack_uses_.begin(), slack_uses_.end(),
                                [charged](const SlackUse& each) { return each.at == charged; });
  double amount = 0;
  if (use != slack_uses_.end()) {
    amount = use->amount;
    slack_uses_.erase(use);
  }
  earned_ += 1 - amount;
}

}  // namespace ladderstream::allowance
