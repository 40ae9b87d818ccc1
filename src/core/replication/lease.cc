#include "core/replication/lease.h"

#include <algorithm>
#include <functional>

namespace ladderstream::replication {
namespace {

/// Durations on the wire are cut to whole microseconds.
constexpr Duration kWireResolution = absl::Microseconds(1);

}  // namespace

void LeasePromise::Renew(Time now, Duration earlier_remaining) {
  Include(now, std::max(timing_.leader_lease, earlier_remaining));
}

void LeasePromise::Include(Time now, Duration remaining) {
  if (remaining > absl::ZeroDuration()) {
    until_ = std::max(until_, now + kWireResolution + remaining * (1 + timing_.max_clock_drift));
  }
}

Duration LeasePromise::Remaining(Time now) const {
  return std::max(until_ - now, absl::ZeroDuration());
}

uint64_t LeaderRounds::Begin(Time now) {
  if (!rounds_.empty() && rounds_.back().sent == now) {
    return rounds_.back().number;
  }
  while (!rounds_.empty() && rounds_.front().sent + timing_.leader_lease < now) {
    rounds_.pop_front();
  }
  rounds_.push_back({next_, now});
  return next_++;
}

Time LeaderRounds::SentAt(uint64_t round) const {
  if (rounds_.empty() || round < rounds_.front().number || round > rounds_.back().number) {
    return absl::InfinitePast();
  }
  return rounds_[round - rounds_.front().number].sent;
}

Time ReachedByMajority(std::vector<Time> moments) {
  if (moments.empty()) {
    return absl::InfinitePast();
  }
  std::sort(moments.begin(), moments.end(), std::greater<>());
  return moments[moments.size() / 2];
}

Time LeaseEnd(const Timing& timing, Time sent) {
  return sent + timing.leader_lease * (1 - timing.max_clock_drift);
}

}  // namespace ladderstream::replication
