// Estimates the load of one back end and the time that a request sent to it now would take.
//
// The estimate combines three sources: this node's own requests in flight there (exact), the load
// reported with the latest answer (outdated after a few service times, because other nodes send to
// the back end too), and averages over the service.
#pragma once

#include <cstdint>
#include <vector>

#include "core/catalog/told_load.h"
#include "wire/time.h"

namespace ladderstream::load {

using catalog::ToldLoad;

/// Averages over the answers of all back ends of a service.
class ServiceAverages {
 public:
  /// Sets the service time that is used until the first sample.
  void SetPrior(Duration service_time) { prior_ = service_time; }
  void AddServiceTime(Duration service_time);
  /// `foreign` is the number of requests at the back end that other nodes sent.
  void AddForeign(double foreign, uint32_t slots);
  /// Records whether reported loads include the request that they are returned with; this is
  /// assumed until a report shows otherwise.
  void RecordReport(const ToldLoad& reported);

  Duration ServiceTime() const { return known_ ? service_time_ : prior_; }
  /// Returns the average number of requests from other nodes per slot.
  double foreign_per_slot() const { return foreign_per_slot_; }
  bool report_includes_request() const { return report_includes_request_; }

 private:
  Duration prior_ = absl::Milliseconds(100);
  Duration service_time_ = absl::ZeroDuration();
  bool known_ = false;
  double foreign_per_slot_ = 0;
  bool report_includes_request_ = true;
};

class LoadEstimate {
 public:
  /// `averages` must outlive the estimate.
  LoadEstimate(uint32_t slots, ServiceAverages& averages);

  void SetSlots(uint32_t slots) { slots_ = slots > 0 ? slots : 1; }
  /// The back end is cold, and hence slow, until `until`.
  void SetColdUntil(Time until) { cold_until_ = until; }

  void OnSend(Time now) { in_flight_.push_back(now); }
  /// The attempt sent at `started` has ended, with any result.
  void OnEnd(Time started);
  /// The back end served a request in `elapsed`. Call after OnEnd.
  void OnServed(Duration elapsed, const ToldLoad& reported, Time now);
  /// A request was abandoned after `elapsed` without an answer. Call after OnEnd.
  void OnUnanswered(Duration elapsed, Time now);
  /// The back end reported its load with any other answer. Call after OnEnd.
  void OnReportedLoad(const ToldLoad& reported, Time now);
  /// The back end rejected a request because it is full; `reported` may be empty. Call after OnEnd.
  void OnShed(const ToldLoad& reported, Time now);

  /// Returns whether the back end would most likely reject the next request.
  bool Full(Time now) const;
  /// Returns when Full() should be checked again.
  Time full_until() const { return full_until_; }

  /// Returns the expected number of requests running or queued at the back end.
  double Occupancy(Time now) const;
  /// Returns the expected time to process one request. It exceeds the smoothed average when a
  /// request in flight has been unanswered for longer.
  Duration ServiceTime(Time now) const;
  /// Returns the expected time that a request sent now would wait for a slot, based on the smoothed
  /// service time.
  Duration ExpectedWait(Time now) const;
  /// Returns whether recent information, rather than averages, shows that all slots are taken.
  bool KnownBusy(Time now) const;

  uint32_t in_flight() const { return static_cast<uint32_t>(in_flight_.size()); }
  uint32_t slots() const { return slots_; }
  const ToldLoad& reported() const { return reported_; }
  /// Returns the age of the latest load report; infinite when there is none.
  Duration ReportAge(Time now) const { return now - reported_at_; }

 private:
  double AverageForeign() const;
  Duration SmoothedServiceTime(Time now) const;
  void UpdateServiceTime(Duration service_time, Time now);

  ServiceAverages& averages_;
  uint32_t slots_;
  Time cold_until_ = absl::InfinitePast();
  /// Start times of the attempts in flight, oldest first.
  std::vector<Time> in_flight_;

  ToldLoad reported_;
  Time reported_at_ = absl::InfinitePast();
  double reported_foreign_ = 0;
  double usual_foreign_ = 0;

  Duration service_time_ = absl::ZeroDuration();
  Time service_time_at_ = absl::InfinitePast();

  Time full_until_ = absl::InfinitePast();
  Time limit_until_ = absl::InfinitePast();
  /// The occupancy at which the back end rejected a request.
  double limit_ = 0;
};

}  // namespace ladderstream::load
