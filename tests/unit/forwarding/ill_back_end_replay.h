// Simulates a steady load on back ends of which some are faulty, and counts the results and retries
// of the requests.
#pragma once

#include <map>
#include <random>
#include <string>
#include <unordered_set>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {

/// How a faulty back end fails a request.
enum class FaultKind {
  /// Rejects it although it reports free slots.
  kSheds,
  /// Rejects it and reports that all its slots and its queue are full.
  kReportsFull,
  /// Resets the connection.
  kResets,
  /// Never answers.
  kHangs,
  /// Answers with an application error.
  kErrors,
  /// Takes eight times as long.
  kSlow,
};

struct FaultScenario {
  std::string service = "cards";
  int backends = 8;
  int faulty = 1;
  FaultKind fault = FaultKind::kSheds;
  /// The share of its requests that a faulty back end fails.
  double failure_share = 0.5;
  Duration between_requests = absl::Milliseconds(10);
  Duration service_time = absl::Milliseconds(60);
  /// Durations before, during and after the fault.
  Duration healthy_time = absl::Seconds(2);
  Duration fault_time = absl::Seconds(10);
  Duration recovery_time = absl::Seconds(5);
  uint64_t seed = 1;
};

/// Counts of the requests that arrived during the fault.
struct FaultOutcome {
  int requests = 0;
  int served = 0;
  /// `refused` counts final answers of the node that state that the request has not run; `failed`
  /// counts other failures.
  int refused = 0;
  int failed = 0;
  int sends = 0;
  int sent_again = 0;
  int sent_to_faulty = 0;
  /// The share of the requests that formerly faulty back ends got in the last second of
  /// `recovery_time`.
  double share_after = 0;
};

FaultOutcome Replay(const FaultScenario& scenario);

}  // namespace ladderstream::forwarding
