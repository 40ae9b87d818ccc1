#include "core/load/outlier_detector.h"

#include <algorithm>

namespace ladderstream::load {
namespace {

constexpr Duration kInitialUnreachable = absl::Milliseconds(100);
constexpr Duration kMaxUnreachable = absl::Seconds(2);
constexpr Duration kMaxUnreachableOwner = absl::Milliseconds(400);
constexpr uint32_t kFailuresToEject = 3;
constexpr Duration kInitialSuspect = absl::Seconds(1);
constexpr Duration kMaxSuspect = absl::Seconds(5);
constexpr uint32_t kMaxDoublings = 8;

/// Returns `first`, doubled `times` times, but no more than `longest`.
Duration Doubled(Duration first, uint32_t times, Duration longest) {
  return std::min(first * (int64_t{1} << std::min(times, kMaxDoublings)), longest);
}

}  // namespace

Duration OutlierDetector::EjectUnreachable(Time now) {
  const Duration time = Doubled(kInitialUnreachable, connect_failures_ - 1, kMaxUnreachable);
  connect_failed_at_ = now;
  unreachable_until_ = now + time;
  return time;
}

Duration OutlierDetector::OnConnectRefused(Time now) {
  ++connect_failures_;
  return EjectUnreachable(now);
}

Duration OutlierDetector::OnConnectTimeout(Time now) {
  ++connect_failures_;
  return connect_failures_ == 1 ? absl::ZeroDuration() : EjectUnreachable(now);
}

Duration OutlierDetector::OnFailure(Time now) {
  evidence_.AddFailure(now);
  ++failures_;
  if (failures_ < kFailuresToEject || Suspect(now)) {
    return absl::ZeroDuration();
  }
  const Duration time = Doubled(kInitialSuspect, ejections_, kMaxSuspect);
  ++ejections_;
  suspect_until_ = now + time;
  return time;
}

Duration OutlierDetector::OnWrongInstance(Time now) {
  unreachable_until_ = now + kMaxUnreachable;
  return kMaxUnreachable;
}

Time OutlierDetector::owner_unreachable_until() const {
  return std::min(unreachable_until_, connect_failed_at_ + kMaxUnreachableOwner);
}

void OutlierDetector::OnConnected() {
  connect_failures_ = 0;
  unreachable_until_ = absl::InfinitePast();
}

void OutlierDetector::OnSuccess(Time now) {
  FailureEvidence evidence = evidence_;
  evidence.AddSuccess(now);
  Reset();
  evidence_ = evidence;
}

}  // namespace ladderstream::load
