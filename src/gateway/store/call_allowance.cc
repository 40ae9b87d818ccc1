#include "gateway/store/call_allowance.h"

#include <algorithm>

namespace ladderstream::gateway {

CallAllowance::CallAllowance(double rate, double smallest_burst)
    : rate_(rate), smallest_burst_(smallest_burst), tokens_(std::max(rate, smallest_burst)) {}

void CallAllowance::SetRate(double rate, Time now) {
  Refill(now);
  rate_ = rate;
  tokens_ = std::min(tokens_, Burst());
}

bool CallAllowance::TryTake(Time now) {
  Refill(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void CallAllowance::Refill(Time now) {
  if (last_refill_ != absl::InfinitePast()) {
    const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - last_refill_));
    tokens_ = std::min(Burst(), tokens_ + elapsed * rate_);
  }
  last_refill_ = now;
}

double CallAllowance::Burst() const { return std::max(rate_, smallest_burst_); }

}  // namespace ladderstream::gateway
