#include "core/load/load_estimate.h"

#include <algorithm>
#include <cmath>

#include "wire/exponential_decay.h"

namespace ladderstream::load {
namespace {

/// Weights of the newest sample in the moving averages.
constexpr double kServiceTimeGain = 0.3;
constexpr double kForeignGain = 0.3;
constexpr double kAverageGain = 0.1;
/// Time constant with which a back end's own service time decays to the average of the service.
constexpr Duration kServiceTimeMemory = absl::Seconds(5);
/// The reported load decays over this many service times, but no faster than kMinReportMemory.
constexpr double kReportMemory = 1.0;
constexpr Duration kMinReportMemory = absl::Milliseconds(20);
/// A cold back end takes this many times as long per request.
constexpr double kColdFactor = 2;
/// The age of the oldest attempt in flight, times this weight, is a lower bound of the service
/// time.
constexpr double kAgeWeight = 0.5;
/// The limit at which the back end rejected a request is used for this many slot intervals.
constexpr int kLimitMemory = 4;
constexpr Duration kMinFullTime = absl::Milliseconds(5);

void MoveTowards(double sample, double gain, double* average) {
  *average += gain * (sample - *average);
}

/// Returns by how many requests `occupancy` plus one exceeds `slots`. Smooth around zero because
/// the occupancy is only an average.
double SmoothExcess(double occupancy, uint32_t slots) {
  const double excess = occupancy + 1 - slots;
  return (excess + std::sqrt(excess * excess + 1)) / 2;
}

}  // namespace

void ServiceAverages::AddServiceTime(Duration service_time) {
  service_time_ =
      known_ ? service_time_ + kAverageGain * (service_time - service_time_) : service_time;
  known_ = true;
}

void ServiceAverages::AddForeign(double foreign, uint32_t slots) {
  MoveTowards(foreign / slots, kAverageGain, &foreign_per_slot_);
}

void ServiceAverages::RecordReport(const ToldLoad& reported) {
  if (reported.slots > 0 && reported.running == 0) {
    report_includes_request_ = false;
  }
}

LoadEstimate::LoadEstimate(uint32_t slots, ServiceAverages& averages)
    : averages_(averages), slots_(slots > 0 ? slots : 1), usual_foreign_(AverageForeign()) {}

void LoadEstimate::OnEnd(Time started) {
  const auto place = std::lower_bound(in_flight_.begin(), in_flight_.end(), started);
  if (place != in_flight_.end() && *place == started) {
    in_flight_.erase(place);
  }
}

void LoadEstimate::OnReportedLoad(const ToldLoad& reported, Time now) {
  if (reported.slots == 0) {
    return;
  }
  reported_ = reported;
  reported_at_ = now;
  const double others = static_cast<double>(reported.running) + reported.waiting -
                        static_cast<double>(in_flight_.size());
  reported_foreign_ = std::max(0.0, others);
  MoveTowards(reported_foreign_, kForeignGain, &usual_foreign_);
  averages_.AddForeign(reported_foreign_, slots_);
}

void LoadEstimate::OnServed(Duration elapsed, const ToldLoad& reported, Time now) {
  averages_.RecordReport(reported);
  ToldLoad others = reported;
  if (averages_.report_includes_request() && others.running > 0) {
    --others.running;
  }
  OnReportedLoad(others, now);
  if (reported.slots > 0 && reported.running + reported.waiting < limit_) {
    full_until_ = absl::InfinitePast();
  }
  const Duration warm = now < cold_until_ ? elapsed / kColdFactor : elapsed;
  const Duration smoothed = SmoothedServiceTime(now);
  // If the request may have queued, the elapsed time is only an upper bound.
  if (reported.waiting > 0 && warm > smoothed) {
    return;
  }
  UpdateServiceTime(warm, now);
  averages_.AddServiceTime(warm);
}

void LoadEstimate::UpdateServiceTime(Duration service_time, Time now) {
  const Duration smoothed = SmoothedServiceTime(now);
  service_time_ = service_time_at_ == absl::InfinitePast()
                      ? service_time
                      : smoothed + kServiceTimeGain * (service_time - smoothed);
  service_time_at_ = now;
}

void LoadEstimate::OnUnanswered(Duration elapsed, Time now) {
  // The elapsed time is a lower bound of the service time, unless the request may have been queued.
  if (elapsed > SmoothedServiceTime(now) && !KnownBusy(now)) {
    UpdateServiceTime(elapsed, now);
  }
}

void LoadEstimate::OnShed(const ToldLoad& reported, Time now) {
  OnReportedLoad(reported, now);
  const Duration interval = SmoothedServiceTime(now) / slots_;
  full_until_ = now + std::max(interval, kMinFullTime);
  if (reported.slots > 0) {
    limit_ =
        std::max<double>(static_cast<double>(reported.running) + reported.waiting, slots_ + 1.0);
    limit_until_ = now + kLimitMemory * interval;
  }
}

bool LoadEstimate::Full(Time now) const {
  return now < full_until_ || (now < limit_until_ && Occupancy(now) >= limit_);
}

double LoadEstimate::AverageForeign() const { return averages_.foreign_per_slot() * slots_; }

double LoadEstimate::Occupancy(Time now) const {
  const double usual = (usual_foreign_ + AverageForeign()) / 2;
  const Duration queue = reported_.waiting * SmoothedServiceTime(now) / slots_;
  const Duration memory =
      std::max(kReportMemory * SmoothedServiceTime(now) + queue, kMinReportMemory);
  const double foreign =
      usual + (reported_foreign_ - usual) * ExponentialDecay(ReportAge(now), memory);
  return foreign + static_cast<double>(in_flight_.size());
}

Duration LoadEstimate::SmoothedServiceTime(Time now) const {
  const Duration average = averages_.ServiceTime();
  if (service_time_at_ == absl::InfinitePast()) {
    return average;
  }
  return average +
         (service_time_ - average) * ExponentialDecay(now - service_time_at_, kServiceTimeMemory);
}

Duration LoadEstimate::ServiceTime(Time now) const {
  Duration time = SmoothedServiceTime(now);
  if (now < cold_until_) {
    time *= kColdFactor;
  }
  if (!in_flight_.empty()) {
    time = std::max(time, kAgeWeight * (now - in_flight_.front()));
  }
  return time;
}

Duration LoadEstimate::ExpectedWait(Time now) const {
  const Duration warm = SmoothedServiceTime(now);
  return (now < cold_until_ ? warm * kColdFactor : warm) / slots_ *
         SmoothExcess(Occupancy(now), slots_);
}

bool LoadEstimate::KnownBusy(Time now) const {
  const bool fresh = ReportAge(now) < kLimitMemory * SmoothedServiceTime(now);
  return in_flight_.size() >= slots_ || (fresh && Occupancy(now) >= slots_);
}

}  // namespace ladderstream::load
