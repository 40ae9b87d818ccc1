// Ejects a failing back end from new work, for a time that grows with continued failures.
#pragma once

#include <cstdint>

#include "core/load/failure_evidence.h"
#include "wire/time.h"

namespace ladderstream::load {

/// State derived from this node's own attempts at one back end. Two conditions are kept apart: the
/// back end accepts no connections (`unreachable`), or it accepts requests and fails them
/// (`suspect`).
class OutlierDetector {
 public:
  /// Each of these returns the ejection time that the event causes; zero when it causes none.
  Duration OnConnectRefused(Time now);
  /// A single lost packet can cause a connect timeout, so the first one in a row ejects nothing.
  Duration OnConnectTimeout(Time now);
  Duration OnFailure(Time now);
  /// Another incarnation answers at the address of the back end.
  Duration OnWrongInstance(Time now);

  void OnConnected();
  /// Ends an ejection. Earlier failures still count in FailureOdds, because a back end that fails
  /// half of its requests serves the other half.
  void OnSuccess(Time now);
  /// Call when the registration of the back end has changed.
  void Reset() { *this = OutlierDetector(); }

  bool Unreachable(Time now) const { return now < unreachable_until_; }
  bool Suspect(Time now) const { return now < suspect_until_; }
  /// See FailureEvidence::Odds. Counts requests that the back end accepted or rejected, not
  /// connection attempts.
  double FailureOdds(Time now) const { return evidence_.Odds(now); }
  /// Returns when an owner of keys is tried again: earlier than other back ends, because an owner
  /// has no substitute.
  Time owner_unreachable_until() const;
  Time unreachable_until() const { return unreachable_until_; }

 private:
  Duration EjectUnreachable(Time now);

  FailureEvidence evidence_;
  uint32_t connect_failures_ = 0;
  uint32_t failures_ = 0;
  uint32_t ejections_ = 0;
  Time connect_failed_at_ = absl::InfinitePast();
  Time unreachable_until_ = absl::InfinitePast();
  Time suspect_until_ = absl::InfinitePast();
};

}  // namespace ladderstream::load
