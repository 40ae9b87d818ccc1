// How many requests this node may have at one owner of keys at a time, found from how its requests
// fare there.
//
// An owner has no substitute, and what it is sent beyond its capacity comes late or is turned away.
// All nodes send to it without knowing of each other, so each adapts its own share: a little more
// after each answer in time, a cut after a late one or one turned away (additive increase,
// multiplicative decrease, as a transport's congestion window). With more nodes than the owner has
// room for, a share falls below one request; then sends are spaced out.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <cstdint>

#include "wire/time.h"

namespace ladderstream::admission {

class OwnerLimit {
 public:
  /// An attempt started at `started` was answered, soon enough for its caller or not.
  void OnAnswer(Time started, bool in_time, Time now);
  /// The owner took none of it, or lost it, as full ones do. `service_time`: what it usually takes.
  void OnRejected(Time started, Duration service_time, Time now);

  /// Whether one more may be sent while `in_flight` are there.
  bool Allows(uint32_t in_flight, Time now) const;
  /// When a share below one request allows the next; in the past otherwise.
  Time next_send() const { return next_send_; }
  /// The limit; kUnlimited until an owner was found to be overloaded.
  double limit() const { return limit_; }

  static constexpr double kUnlimited = 1e9;

 private:
  /// Cuts the limit, unless the attempt began before the last cut took effect.
  void Cut(double factor, Time started, Time now);
  /// Leaves a pause after an attempt that took `elapsed`, so that a share below one is kept.
  void SpaceOut(Duration elapsed, Time now);

  double limit_ = kUnlimited;
  Time cut_at_ = absl::InfinitePast();
  Time next_send_ = absl::InfinitePast();
};

}  // namespace ladderstream::admission
