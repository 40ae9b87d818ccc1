// How far an event loop is behind what it should have done by now.
//
// It costs nothing: the owner's timer is armed anyway, and one that is overdue when something else
// runs shows that the loop stood still or works off a backlog. One thread, the loop's.
#pragma once

#include <algorithm>

#include "wire/time.h"

namespace ladderstream::gateway {

class LoopLag {
 public:
  /// A loop that is behind by less than this counts as in time. Callers that leave are noticed one
  /// round of the loop later, which is then at most this plus the longest wait of the timer (250
  /// ms) after they left: inside the half second in which a back end may still get their requests.
  static constexpr Duration kTolerated = absl::Milliseconds(50);

  /// The timer is armed, and is to go off at `due`.
  void OnTimerArmed(Time due) { due_ = due; }
  /// The timer went off.
  void OnTimer(Time now) {
    last_ = LateBy(now);
    due_ = absl::InfiniteFuture();
  }

  /// By how much the loop is behind at `now`; the timer's last delay holds until it goes off again,
  /// because what waited behind it is still to be worked off.
  Duration At(Time now) const { return std::max(last_, LateBy(now)); }
  bool IsBehind(Time now) const { return At(now) > kTolerated; }

 private:
  Duration LateBy(Time now) const { return std::max(now - due_, absl::ZeroDuration()); }

  Time due_ = absl::InfiniteFuture();
  Duration last_ = absl::ZeroDuration();
};

}  // namespace ladderstream::gateway
