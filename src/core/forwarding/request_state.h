// State of a request and of its attempts, from Start to the final decision.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/forwarding/backend_choice.h"
#include "core/forwarding/dispatcher.h"
#include "core/forwarding/service_table.h"

namespace ladderstream::forwarding {

/// How the most recently ended attempt of a request failed.
enum class FailureKind {
  kNone,
  kRefused,
  kNotOwner,
  kUnreachable,
  kNotSent,
  /// The path from this node, or through a peer, failed; nothing was sent.
  kNoPath,
  kLost,
  kUnclear
};

struct LastFailure {
  FailureKind kind = FailureKind::kNone;
  BackendStatePtr backend;
  /// Status of its answer; 0 when there was none.
  int status = 0;
  catalog::ToldLoad load;
};

struct Request {
  RequestHandle handle = 0;
  /// Keeps `route` alive: a request keeps the configuration that it started with.
  std::shared_ptr<const catalog::Configuration> configuration;
  const catalog::Route* route = nullptr;
  ServiceState* service = nullptr;
  bool sharded = false;
  std::optional<ownership::Key> key;
  Time arrival;
  /// Deadline for the final answer, whatever its outcome.
  Time answer_by;
  /// The request does not join a queue whose expected wait ends after this.
  Time start_by;
  /// Latest time to wait for a slot or an owner.
  Time wait_deadline;

  /// An attempt that can no longer return an answer may have run the request.
  bool may_have_run = false;
  /// Attempts that were sent or may still be sent.
  uint32_t counted_attempts = 0;
  uint32_t sends = 0;
  std::vector<AttemptHandle> in_flight;
  std::vector<BackendStatePtr> failed;
  /// Distinct back ends whose connection ended while the request was in progress there.
  std::vector<BackendStatePtr> lost_with;
  std::optional<quarantine::RequestIdentity> identity;
  /// It is held, and is sent once when this node is granted a trial.
  bool is_trial = false;
  /// Which of its fingerprints is tried.
  quarantine::Fingerprint trial_of;
  /// Peers that could not send the request on.
  std::vector<uint64_t> declined_peers;
  std::optional<RejectedAssignment> rejected_assignment;
  LastFailure last_failure;
  SendCause next_cause = SendCause::kFirst;

  /// Admission control has accepted the request.
  bool admitted = false;
  bool waiting = false;
  Time wait_until = absl::InfiniteFuture();
  Time hedge_at = absl::InfiniteFuture();
  /// When its timer fires; infinite when it has none.
  Time timer = absl::InfiniteFuture();

  bool repeatable() const { return route->repeatability == catalog::Repeatability::kRepeatable; }
  admission::WaitQueue::Entry QueueEntry() const { return {route->priority, arrival, handle}; }
};

struct Attempt {
  /// 0 when the request was deleted and only the back end's slot is still accounted for.
  RequestHandle request = 0;
  BackendStatePtr backend;
  ServiceState* service = nullptr;
  ownership::Fence fence = 0;
  Time started;
  /// An answer that takes longer than this is late, regardless of how long the request waited
  /// before the attempt.
  Duration late_after = absl::InfiniteDuration();
  bool sent = false;
  /// The attempt consumed a permit of the back end's rate limit.
  bool permitted = false;
  std::optional<quarantine::RequestIdentity> identity = std::nullopt;
  /// The attempt was charged to the retry budget when it started.
  bool charged = false;
  /// Incarnation of the node through which it goes; 0 for a direct connection.
  uint64_t peer = 0;
};

/// How the answer of a back end is handled.
enum class AnswerMeaning {
  /// Relayed to the caller.
  kFinal,
  /// The request was not run; another back end, or the same one later, may run it.
  kRefused,
  /// The status implies that the request did not run, but the back end did not confirm it.
  kUnclear,
};

AnswerMeaning MeaningOf(const AttemptAnswer& answer);

}  // namespace ladderstream::forwarding
