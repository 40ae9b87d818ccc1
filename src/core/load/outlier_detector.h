// Keeps new work away from one back end that fails, for a time that grows while it goes on failing.
#pragma once

#include <cstdint>

#include "core/load/failure_evidence.h"
#include "wire/time.h"

namespace ladderstream::load {

/// What this node concluded from its own attempts at one back end. Two grounds are kept apart: it
/// takes no connections (`unreachable`), or it takes requests and fails them (`suspect`).
class OutlierDetector {
 public:
  /// Each returns for how long the back end is ejected by it; zero when it is not.
  Duration OnConnectRefused(Time now);
  /// One lost packet costs this much, so the first time-out in a row ejects nothing.
  Duration OnConnectTimeout(Time now);
  Duration OnFailure(Time now);
  /// Another incarnation answers at its address.
  Duration OnWrongInstance(Time now);

  void OnConnected();
  /// Ends an ejection. What failed before still counts in FailureOdds: a back end that fails half
  /// of its requests serves the other half.
  void OnSuccess(Time now);
  /// Its registration changed.
  void Reset() { *this = OutlierDetector(); }

  bool Unreachable(Time now) const { return now < unreachable_until_; }
  bool Suspect(Time now) const { return now < suspect_until_; }
  /// See FailureEvidence::Odds; of requests that it took or turned away, not of connections.
  double FailureOdds(Time now) const { return evidence_.Odds(now); }
  /// An owner of keys has no substitute, so it is tried again earlier.
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
