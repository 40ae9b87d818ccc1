// Compares what callers were told with what back ends ran, and measures the three costs.
//
// No I/O and no clock: the logs in, a verdict out.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/backend_record.h"
#include "rehearsal/caller_log.h"

namespace ladderstream::rehearsal {

/// A time during which a back end was meant to take part of its service's load.
struct Presence {
  BackendId backend;
  std::string service;
  uint32_t slots = 1;
  absl::Time from;
  absl::Time until;
};

/// A back end that was leaving: a few seconds later it must be given no new work.
struct Leaving {
  BackendId backend;
  /// From here on no request may begin on it.
  absl::Time from;
  absl::Time until = absl::InfiniteFuture();
};

/// All that a rehearsal left behind.
struct Evidence {
  CallerLog calls;
  BackendRecord record;
  std::vector<Presence> presence;
  std::vector<Leaving> leaving;
  /// Services routed by key; only their keys have owners.
  std::vector<std::string> keyed_services;
};

/// One thing that must never happen, in words.
struct Violation {
  std::string what;
};

/// How a service fared.
struct ServiceReport {
  uint64_t attempts = 0;
  uint64_t answered = 0;
  uint64_t did_not_run = 0;
  uint64_t unknown = 0;
  absl::Duration p50;
  absl::Duration p99;
  /// Peak over mean of the back ends' executions per slot and second of presence; 0 when unknown.
  double imbalance = 0;
  /// How often a key was served by another back end than the one before, by effect time.
  uint64_t churn = 0;
  /// The longest time without a successful answer, over the steadily probed keys.
  absl::Duration unavailable;
  std::string worst_key;
};

struct Verdict {
  uint64_t requests = 0;
  uint64_t answered = 0;
  /// Answers that were cut off or that belong to another request.
  std::vector<Violation> wrong;
  /// Requests that may not be repeated and ran more than once.
  std::vector<Violation> doubled;
  /// Answered without having run, or refused as not run and yet run.
  std::vector<Violation> lost;
  /// Two back ends that owned one key or shard at once.
  std::vector<Violation> two_owners;
  /// Work that began on a back end which had been leaving for too long.
  std::vector<Violation> after_drain;
  absl::Duration p50;
  absl::Duration p99;
  /// The worst service's.
  double imbalance = 0;
  uint64_t churn = 0;
  absl::Duration unavailable;
  std::map<std::string, ServiceReport> services;

  /// Whether nothing happened that must never happen.
  bool IsClean() const {
    return wrong.empty() && doubled.empty() && lost.empty() && two_owners.empty() &&
           after_drain.empty();
  }
};

Verdict Judge(const Evidence& evidence);

/// Gives the value that `share` (0 to 1) of the sorted `durations` do not exceed; zero for none.
absl::Duration Percentile(const std::vector<absl::Duration>& sorted, double share);

}  // namespace ladderstream::rehearsal
