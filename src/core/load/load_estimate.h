// How busy one back end is believed to be, and how long a request sent to it now would take.
//
// Three sources are joined: what this node has in flight there (exact), what the back end told with
// its latest answer (ages within a few service times, as other nodes send to it too), and averages
// over its service.
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
  /// Stands in until a first service time was seen.
  void SetPrior(Duration service_time) { prior_ = service_time; }
  void AddServiceTime(Duration service_time);
  /// `foreign`: requests at the back end that are not this node's.
  void AddForeign(double foreign, uint32_t slots);
  /// Told figures count the request that they come with, until one is seen that does not.
  void RecordReport(const ToldLoad& reported);

  Duration ServiceTime() const { return known_ ? service_time_ : prior_; }
  /// Requests of other nodes per slot.
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
  /// Slow from its start until then.
  void SetColdUntil(Time until) { cold_until_ = until; }

  void OnSend(Time now) { in_flight_.push_back(now); }
  /// The attempt sent at `started` is over, whatever came of it.
  void OnEnd(Time started);
  /// It served a request in `elapsed`. After OnEnd.
  void OnServed(Duration elapsed, const ToldLoad& reported, Time now);
  /// It had not served a request after `elapsed`, which then was given up. After OnEnd.
  void OnUnanswered(Duration elapsed, Time now);
  /// It told its load with another answer. After OnEnd.
  void OnReportedLoad(const ToldLoad& reported, Time now);
  /// It turned a request away since it is full; `told` may be empty. After OnEnd.
  void OnShed(const ToldLoad& reported, Time now);

  /// Whether it would most likely turn the next request away.
  bool Full(Time now) const;
  /// When Full() is worth another look.
  Time full_until() const { return full_until_; }

  /// Requests running or waiting there.
  double Occupancy(Time now) const;
  /// How long it works on one request; longer than learned when it is silent for longer.
  Duration ServiceTime(Time now) const;
  /// How long a request sent now would wait for a slot, by what was learned.
  Duration ExpectedWait(Time now) const;
  /// Whether fresh knowledge, not averages, says that all its slots are taken.
  bool KnownBusy(Time now) const;

  uint32_t in_flight() const { return static_cast<uint32_t>(in_flight_.size()); }
  uint32_t slots() const { return slots_; }
  const ToldLoad& reported() const { return reported_; }
  /// How old what it told is; infinite when it told nothing.
  Duration ReportAge(Time now) const { return now - reported_at_; }

 private:
  double AverageForeign() const;
  Duration SmoothedServiceTime(Time now) const;
  void UpdateServiceTime(Duration service_time, Time now);

  ServiceAverages& averages_;
  uint32_t slots_;
  Time cold_until_ = absl::InfinitePast();
  /// When each attempt in flight was sent, oldest first.
  std::vector<Time> in_flight_;

  ToldLoad reported_;
  Time reported_at_ = absl::InfinitePast();
  double reported_foreign_ = 0;
  double usual_foreign_ = 0;

  Duration service_time_ = absl::ZeroDuration();
  Time service_time_at_ = absl::InfinitePast();

  Time full_until_ = absl::InfinitePast();
  Time limit_until_ = absl::InfinitePast();
  /// The occupancy at which it turned a request away.
  double limit_ = 0;
};

}  // namespace ladderstream::load
