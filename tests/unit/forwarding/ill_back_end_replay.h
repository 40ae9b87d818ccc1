// Plays a steady load against back ends of which some are ill, on simulated time, and counts what
// became of the requests and how often they were sent again.
#pragma once

#include <map>
#include <random>
#include <string>
#include <unordered_set>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {

/// How an ill back end fails a request.
enum class FaultKind {
  /// It turns it away, with free slots by its own word.
  kSheds,
  /// It turns it away and says that all its slots and its queue are taken.
  kReportsFull,
  /// It resets the connection.
  kResets,
  /// It never answers.
  kHangs,
  /// It answers with an error of its own.
  kErrors,
  /// It takes eight times as long.
  kSlow,
};

struct FaultScenario {
  std::string service = "cards";
  int backends = 8;
  int faulty = 1;
  FaultKind fault = FaultKind::kSheds;
  /// The share of its requests that an ill back end fails.
  double failure_share = 0.5;
  Duration between_requests = absl::Milliseconds(10);
  Duration service_time = absl::Milliseconds(60);
  /// Before the illness, of the illness, and after it.
  Duration healthy_time = absl::Seconds(2);
  Duration fault_time = absl::Seconds(10);
  Duration recovery_time = absl::Seconds(5);
  uint64_t seed = 1;
};

/// Of the requests that came while back ends were ill.
struct FaultOutcome {
  int requests = 0;
  int served = 0;
  /// Final answers of the node that say that the request has not run, and other failures.
  int refused = 0;
  int failed = 0;
  int sends = 0;
  int sent_again = 0;
  int sent_to_faulty = 0;
  /// The share of the requests that formerly ill back ends got in the last second of `recovered`.
  double share_after = 0;
};

FaultOutcome Replay(const FaultScenario& scenario);

}  // namespace ladderstream::forwarding
