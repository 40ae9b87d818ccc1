#include "core/admission/owner_limit.h"

#include <algorithm>

namespace ladderstream::admission {
namespace {

// For a node that sees some ten answers a second of such an owner (docs/design/018).

/// Added to the limit by each answer in time.
constexpr double kGrowth = 0.1;
/// What a late answer, and one turned away, leave of the limit.
constexpr double kLateCut = 0.85;
constexpr double kTurnedAwayCut = 0.6;
/// A first cut starts from this: with many nodes, each has few requests at an owner.
constexpr double kFirstLimit = 2;
/// One request in this many times its own duration keeps an owner under observation.
constexpr double kLeastLimit = 1.0 / 16;
/// An owner that nothing showed to be overloaded for so long is not limited.
constexpr Duration kMemory = absl::Seconds(2);

}  // namespace

void OwnerLimit::Cut(double share, Time started, Time now) {
  if (started < cut_at_) {
    return;
  }
  limit_ = std::max(std::min(limit_, kFirstLimit / share) * share, kLeastLimit);
  cut_at_ = now;
}

void OwnerLimit::SpaceOut(Duration elapsed, Time now) {
  if (limit_ < 1) {
    next_send_ = now + elapsed * (1 / limit_ - 1);
  }
}

void OwnerLimit::OnAnswer(Time started, bool in_time, Time now) {
  if (!in_time) {
    Cut(kLateCut, started, now);
  } else if (limit_ != kUnlimited) {
    limit_ = now - cut_at_ > kMemory ? kUnlimited : limit_ + kGrowth;
  }
  SpaceOut(now - started, now);
}

void OwnerLimit::OnTurnedAway(Time started, Duration service_time, Time now) {
  Cut(kTurnedAwayCut, started, now);
  SpaceOut(std::max(service_time, now - started), now);
}

bool OwnerLimit::Allows(uint32_t in_flight, Time now) const {
  if (limit_ >= 1) {
    return in_flight + 1 <= limit_;
  }
  return in_flight == 0 && now >= next_send_;
}

}  // namespace ladderstream::admission
