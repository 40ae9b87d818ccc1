#include "core/admission/owner_limit.h"

#include <algorithm>

namespace ladderstream::admission {
namespace {

// These values suit a node that receives about ten answers a second from an overloaded owner.

/// Added to the limit by each timely answer.
constexpr double kIncrease = 0.1;
/// Factors applied to the limit after a late answer and after a rejection.
constexpr double kLateFactor = 0.85;
constexpr double kRejectedFactor = 0.6;
/// Every cut, also the first one, leaves at most this: with many nodes, each has few requests at an
/// owner.
constexpr double kMaxLimitAfterCut = 2;
/// The lowest limit, as requests per request duration: the node keeps sending to the owner, so that
/// it notices a recovery.
constexpr double kMinLimit = 1.0 / 16;
/// For this long after a timely answer, the owner is taken to have no queue.
constexpr Duration kTimelyAnswerLifetime = absl::Seconds(2);
/// A timely answer removes the limit if the last cut is longer ago than this.
constexpr Duration kLimitExpiry = absl::Seconds(2);

}  // namespace

void OwnerLimit::Cut(double factor, Time started, Time now) {
  if (started < cut_at_) {
    return;
  }
  limit_ = std::max(std::min(limit_, kMaxLimitAfterCut / factor) * factor, kMinLimit);
  cut_at_ = now;
}

void OwnerLimit::SpaceOut(Duration elapsed, Time now) {
  if (limit_ < 1) {
    next_send_ = now + elapsed * (1 / limit_ - 1);
  }
}

void OwnerLimit::OnAnswer(Time started, bool in_time, Time now) {
  answered_in_time_at_ = in_time ? now : absl::InfinitePast();
  if (!in_time) {
    Cut(kLateFactor, started, now);
  } else if (limit_ != kUnlimited) {
    limit_ = now - cut_at_ > kLimitExpiry ? kUnlimited : limit_ + kIncrease;
  }
  SpaceOut(now - started, now);
}

void OwnerLimit::OnRejected(Time started, Duration service_time, Time now) {
  Cut(kRejectedFactor, started, now);
  SpaceOut(std::max(service_time, now - started), now);
}

void OwnerLimit::OnLost(Time started, Duration service_time, Time now) {
  if (now - answered_in_time_at_ > kTimelyAnswerLifetime) {
    OnRejected(started, service_time, now);
  }
}

bool OwnerLimit::Allows(uint32_t in_flight, Time now) const {
  if (limit_ >= 1) {
    return in_flight + 1 <= limit_;
  }
  return in_flight == 0 && now >= next_send_;
}

}  // namespace ladderstream::admission
