// Exchange between nodes of requests suspected to crash back ends (quarantine::CrashSuspects).
//
// A node that observes a change reports it to the coordinator at once, which pushes it to all
// nodes. Without a coordinator, a node that is asked for one includes what it knows in its answer.
// After the publish period only requests that are held, or nearly, are sent, so that nothing is
// sent when there are none. Deterministic and not thread-safe.
#pragma once

#include <vector>

#include "core/membership/messages.h"
#include "core/quarantine/crash_suspects.h"
#include "wire/time.h"

namespace ladderstream::membership {

class SuspectExchange {
 public:
  /// Sets what this node knows. `own`: the change was observed by this node, not received from
  /// another.
  void Set(std::vector<quarantine::SuspectRecord> records, bool own, Time now);
  /// Records that the coordinator changed; the new one may not have the records yet.
  void OnNewHolder(Time now) { report_until_ = now + kPublishPeriod; }

  /// This node knows the requests that were held before it started.
  void SetKnown() { known_ = true; }
  bool IsKnown() const { return known_; }

  std::vector<SharedSuspect> ForReport(Time now) const;
  std::vector<SharedSuspect> ForHeartbeat(Time now) const;

  static std::vector<quarantine::SuspectRecord> Decode(const std::vector<SharedSuspect>& shared,
                                                       Time now);

 private:
  /// Changes are repeated for this long: two of the longest report intervals.
  static constexpr Duration kPublishPeriod = absl::Seconds(3);

  std::vector<SharedSuspect> Encode(bool all, Time now) const;

  std::vector<quarantine::SuspectRecord> records_;
  bool known_ = false;
  Time report_until_ = absl::InfinitePast();
  Time heartbeat_until_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
