// Compares what back ends ran with what callers were told.
//
// No I/O and no clock: the evidence in, a verdict out.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standin/fleet/history.h"

namespace ladderstream::fleet {

/// Things of one sort that must never happen.
struct Violations {
  uint64_t count = 0;
  /// The first few, in words.
  std::vector<std::string> examples;

  void Add(const std::string& what);
};

struct JudgeBounds {
  /// A back end that leaves may still be given work for this long.
  Duration drain = absl::Seconds(2);
  /// Old versions of the configuration may be in force for this long.
  Duration config_apply = absl::Seconds(2);
  /// What an unstable store that answers may add to it.
  Duration max_skew = absl::Seconds(5);
  /// After a node was seen to use a version, it may still use older ones for this long.
  Duration rollback_slack = absl::Milliseconds(250);
  /// The same, in multiples, for a disturbed node.
  double disturbed_rollback_factor = 8;
  /// Bounds of time bind again this long after a disturbance.
  Duration contact = absl::Seconds(3);
  double retry_budget_ratio = 0.2;
  double retry_budget_slack = 62;
  Duration budget_window = absl::Seconds(10);
};

/// How one class of requests fared.
struct ClassReport {
  uint64_t calls = 0;
  uint64_t served = 0;
  /// From the call's first try to its end, of those served.
  Duration p50;
  Duration p99;
};

struct Verdict {
  uint64_t calls = 0;
  uint64_t served = 0;
  uint64_t attempts = 0;
  /// Answered with a promise that the request did not run.
  uint64_t refused = 0;
  /// Answered with another failure.
  uint64_t failed = 0;
  /// Ended without a whole answer after the connection was made.
  uint64_t cut = 0;
  /// Those of them that a back end had been given, or that were cut long after they were sent.
  uint64_t cut_at_work = 0;
  uint64_t timed_out = 0;
  Duration p50;
  Duration p99;
  std::map<std::string, ClassReport> classes;

  /// Answers that are not the whole answer of the back end that ran this very request.
  Violations wrong;
  /// Requests that may not be repeated and ran more than once.
  Violations doubled;
  /// Refused with the promise of not having run, and run.
  Violations broken_promises;
  /// Two back ends at the same keys.
  Violations two_owners;
  /// Keys that passed on under a fence that did not rise.
  Violations fences;
  /// Work given to a back end that had left, or had said with an answer that it leaves.
  Violations after_drain;
  /// Work that no caller asked for, or changed on the way.
  Violations unasked;
  /// Run by a service, or refused as unknown, against every configuration that may be in force.
  Violations misrouted;
  /// Handled as only a version allows that had to be out of force by then.
  Violations outdated;
  /// Handled as only a version allows that is older than one that the same process had used.
  Violations regressed;
  /// Routes added later that are served far less often than the first ones.
  Violations unserved_routes;
  /// Requests held past the time-out of their route.
  Violations past_timeout;
  /// Traffic splits whose parts are far off their weights.
  Violations off_split;
  /// Sent to more back ends than allowed, beyond the retry budget, or to one that wanted rest.
  Violations over_budget;
  /// Given more time than the caller had left.
  Violations overtime;
  /// Gone on with after its caller had gone.
  Violations lingering;
  /// Sent on although three back ends had ended under them.
  Violations sent_after_crashes;
  /// Refused for crashes that they had no part in.
  Violations innocent_held;
  /// Not served at nodes that were cut off from all back ends while the others served.
  Violations unserved_when_cut;

  /// Whether nothing happened that must never happen.
  bool IsClean() const;
  std::vector<std::pair<std::string, const Violations*>> All() const;
};

Verdict Judge(const History& history, const JudgeBounds& bounds);

/// The value that `share` (0 to 1) of the sorted durations do not exceed; zero for none.
Duration Percentile(const std::vector<Duration>& sorted, double share);

}  // namespace ladderstream::fleet
