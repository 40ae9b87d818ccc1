// What nodes tell each other of requests that crash back ends (quarantine::CrashSuspects).
//
// Who learns something reports it to the coordinator at once, which pushes it to all; without a
// coordinator, whoever is asked for one tells what it knows with its answer. Later only requests
// that are held are told on, so that calm costs nothing. Pure and of one thread.
#pragma once

#include <vector>

#include "core/membership/messages.h"
#include "core/quarantine/crash_suspects.h"
#include "wire/time.h"

namespace ladderstream::membership {

class SuspectExchange {
 public:
  /// What this node knows now. `own`: it learned something by itself; otherwise from another node.
  void Set(std::vector<quarantine::SuspectRecord> records, bool own, Time now);
  /// Another node coordinates from now on, and may know nothing.
  void OnNewHolder(Time now) { report_until_ = now + kPublishPeriod; }

  std::vector<SharedSuspect> ForReport(Time now) const;
  std::vector<SharedSuspect> ForHeartbeat(Time now) const;

  static std::vector<quarantine::SuspectRecord> Decode(const std::vector<SharedSuspect>& shared,
                                                       Time now);

 private:
  /// News are repeated for so long: two of the longest intervals between reports.
  static constexpr Duration kPublishPeriod = absl::Seconds(3);

  std::vector<SharedSuspect> Encode(bool all, Time now) const;

  std::vector<quarantine::SuspectRecord> records_;
  Time report_until_ = absl::InfinitePast();
  Time heartbeat_until_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
