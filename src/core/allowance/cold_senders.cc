#include "core/allowance/cold_senders.h"

#include <algorithm>

namespace ladderstream::allowance {

Duration ColdSenders::Interval(double rate) const {
  // A sender's sends in one second are at most its rate plus one; two generations of senders at
  // once must stay within the bound.
  constexpr double kGenerations = 2;
  const double room = (rate * overshoot_ + slack_) / kGenerations - kSenders;
  const double used = std::min(rate, room);
  return used <= 0 ? absl::InfiniteDuration() : absl::Seconds(kSenders / used);
}

}  // namespace ladderstream::allowance
