// Adaptive limit on the requests that this node has in flight at one owner of keys.
//
// No other back end can replace an owner, and requests beyond its capacity are answered late or
// rejected. All nodes send to it without coordination, so each adapts its own limit by additive
// increase and multiplicative decrease, as a transport adapts its congestion window: a small
// increase after each timely answer, a cut after a late answer or a rejection. If more nodes send
// than the owner has capacity for, the limit falls below one request and sends are spaced out.
//
// Performs no I/O, reads no clock and is not thread-safe, like the rest of the library.
#pragma once

#include <cstdint>

#include "wire/time.h"

namespace ladderstream::admission {

class OwnerLimit {
 public:
  /// Records that an attempt that began at `started` was answered, or, with `in_time` false, that
  /// it timed out. `in_time`: whether the answer was early enough for the caller's target latency.
  void OnAnswer(Time started, bool in_time, Time now);
  /// Records that the owner rejected or lost a request, as overloaded owners do. `service_time`:
  /// the owner's usual time for one request.
  void OnRejected(Time started, Duration service_time, Time now);
  /// Records that the owner lost a request that it may have run. Has no effect while the owner
  /// answers in time: a full owner has a queue, so its answers are late.
  void OnLost(Time started, Duration service_time, Time now);

  /// Returns whether another request may be sent while `in_flight` are unanswered.
  bool Allows(uint32_t in_flight, Time now) const;
  /// Returns when a limit below one request allows the next send; a time in the past otherwise.
  Time next_send() const { return next_send_; }
  /// Returns the limit in requests; kUnlimited while no overload of the owner is known.
  double limit() const { return limit_; }

  static constexpr double kUnlimited = 1e9;

 private:
  /// Multiplies the limit by `factor`, unless the attempt began before the last cut: its outcome
  /// does not reflect that cut yet.
  void Cut(double factor, Time started, Time now);
  /// Enforces a limit below one request: delays the next send after an attempt that took `elapsed`.
  void SpaceOut(Duration elapsed, Time now);

  double limit_ = kUnlimited;
  /// When the last answer arrived, if it was in time; infinite past otherwise.
  Time answered_in_time_at_ = absl::InfinitePast();
  Time cut_at_ = absl::InfinitePast();
  Time next_send_ = absl::InfinitePast();
};

}  // namespace ladderstream::admission
