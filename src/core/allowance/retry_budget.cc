#include "core/allowance/retry_budget.h"

#include <algorithm>

namespace ladderstream::allowance {
namespace {

void DropBefore(Time start, std::deque<Time>* times) {
  while (!times->empty() && times->front() < start) {
    times->pop_front();
  }
}

}  // namespace

bool RetryBudget::Allows(const RetryLimits& limits, double share, Time now) {
  DropBefore(now - limits.window, &requests_);
  DropBefore(now - limits.window, &retries_);
  const double age = absl::FDivDuration(now - limits.started, limits.window);
  const double slack = limits.slack * std::clamp(age, 0.0, 1.0);
  const double budget = limits.ratio * static_cast<double>(requests_.size()) + slack;
  return static_cast<double>(retries_.size() + 1) <= budget * share;
}

void RetryBudget::Refund(Time charged) {
  const auto place = std::lower_bound(retries_.begin(), retries_.end(), charged);
  if (place != retries_.end() && *place == charged) {
    retries_.erase(place);
  }
}

}  // namespace ladderstream::allowance
