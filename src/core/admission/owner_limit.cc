#include "core/admission/owner_limit.h"

#include <algorithm>
#include <cmath>

namespace ladderstream::admission {
namespace {

// Estimates, meant for a node that sees some ten answers a second of such an owner. Only kGrowth
// was measured against another figure (docs/design/018).

/// Added to the limit by each answer in time. 0.2 made no difference.
constexpr double kGrowth = 0.1;
/// What a late answer, and one turned away, leave of the limit.
constexpr double kLateCut = 0.85;
constexpr double kTurnedAwayCut = 0.6;
/// A first cut starts from this: with many nodes, each has few requests at an owner.
constexpr double kFirstLimit = 2;
/// One request in this many times its own duration keeps an owner under observation.
constexpr double kLeastLimit = 1.0 / 16;
/// A limit doubles in this time by itself, so that the least one is back at one request in two
/// seconds, in which a node with few requests there would see one answer or none.
constexpr Duration kDoubling = absl::Milliseconds(500);
/// No share below one request is spaced out further: it would outlast most overloads.
constexpr Duration kLongestPause = absl::Milliseconds(500);
/// An owner that nothing showed to be overloaded for so long is not limited.
constexpr Duration kMemory = absl::Seconds(2);

}  // namespace

double OwnerLimit::LimitAt(Time now) const {
  if (limit_ == kUnlimited) {
    return kUnlimited;
  }
  return std::min(limit_ * std::exp2(absl::FDivDuration(now - changed_at_, kDoubling)), kUnlimited);
}

void OwnerLimit::SetLimit(double limit, Time now) {
  limit_ = limit;
  changed_at_ = now;
}

void OwnerLimit::Cut(double share, Time started, Time now) {
  if (started < cut_at_) {
    return;
  }
  SetLimit(std::max(std::min(LimitAt(now), kFirstLimit / share) * share, kLeastLimit), now);
  cut_at_ = now;
}

void OwnerLimit::SpaceOut(Duration elapsed, Time now) {
  if (limit_ < 1) {
    next_send_ = now + std::min(elapsed * (1 / limit_ - 1), kLongestPause);
  }
}

void OwnerLimit::OnAnswer(Time started, bool in_time, Time now) {
  if (!in_time) {
    Cut(kLateCut, started, now);
  } else if (limit_ != kUnlimited) {
    SetLimit(now - cut_at_ > kMemory ? kUnlimited : LimitAt(now) + kGrowth, now);
  }
  SpaceOut(now - started, now);
}

void OwnerLimit::OnTurnedAway(Time started, Duration service_time, Time now) {
  Cut(kTurnedAwayCut, started, now);
  SpaceOut(std::max(service_time, now - started), now);
}

bool OwnerLimit::Allows(uint32_t in_flight, Time now) const {
  const double limit = LimitAt(now);
  if (limit >= 1) {
    return in_flight + 1 <= limit;
  }
  return in_flight == 0 && now >= next_send_;
}

}  // namespace ladderstream::admission
