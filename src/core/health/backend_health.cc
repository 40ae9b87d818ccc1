#include "core/health/backend_health.h"

#include <algorithm>

namespace ladderstream::health {

void BackendHealth::Blend(double failure) {
  failure_share_ += settings_.smoothing * (failure - failure_share_);
  recent_requests_ += 1;
}

void BackendHealth::RecordSuccess(Duration latency, Time now) {
  const absl::MutexLock lock(&mutex_);
  failures_in_a_row_ = 0;
  Blend(0);
  latency_ = latency_ == absl::ZeroDuration()
                 ? latency
                 : latency_ + settings_.smoothing * (latency - latency_);
  // Answers to requests sent before the ejection say nothing about the back end now.
  if (now >= ejected_until_) {
    ejections_ = 0;
  }
}

void BackendHealth::RecordFailure(Time now) {
  const absl::MutexLock lock(&mutex_);
  ++failures_in_a_row_;
  Blend(1);
  if (now < ejected_until_) {
    return;
  }
  const bool on_probation = ejections_ > 0;
  const bool in_a_row = failures_in_a_row_ >= settings_.consecutive_failures;
  const bool too_often = recent_requests_ >= settings_.min_recent_requests &&
                         failure_share_ >= settings_.failure_share;
  if (on_probation || in_a_row || too_often) {
    Eject(now);
  }
}

void BackendHealth::Eject(Time now) {
  constexpr uint32_t kMaxDoublings = 16;
  const int64_t factor = int64_t{1} << std::min(ejections_, kMaxDoublings);
  ejected_until_ = now + std::min(settings_.first_ejection * factor, settings_.max_ejection);
  ++ejections_;
  failures_in_a_row_ = 0;
  failure_share_ = 0;
  recent_requests_ = 0;
}

bool BackendHealth::IsSuspect(Time now) const {
  const absl::MutexLock lock(&mutex_);
  return now < ejected_until_;
}

Duration BackendHealth::Latency() const {
  const absl::MutexLock lock(&mutex_);
  return latency_;
}

}  // namespace ladderstream::health
