// What is known of one request and of each of its attempts, from Start to the final decision.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/forwarding/backend_choice.h"
#include "core/forwarding/dispatcher.h"
#include "core/forwarding/service_table.h"

namespace ladderstream::forwarding {

/// How the last attempt that ended failed its request.
enum class SetbackKind { kNone, kRefused, kDenied, kUnreachable, kNotSent, kLost, kUnclear };

struct Setback {
  SetbackKind kind = SetbackKind::kNone;
  BackendStatePtr backend;
  /// Of its answer; 0 when there was none.
  int status = 0;
  catalog::ToldLoad told;
};

struct Request {
  RequestHandle handle = 0;
  /// Keeps `route` alive: a request goes on by the configuration that it started with.
  std::shared_ptr<const catalog::Configuration> configuration;
  const catalog::Route* route = nullptr;
  ServiceState* service = nullptr;
  bool sharded = false;
  std::optional<ownership::Key> key;
  Time arrival;
  /// When it gets its final answer, whatever that is.
  Time answer_by;
  /// A queue that lasts beyond this is not worth joining.
  Time start_by;
  /// It waits for a slot or an owner only until then.
  Time patience_until;

  /// An attempt may have run it, and cannot give its answer any more.
  bool may_have_run = false;
  /// Attempts that left, or may still leave.
  uint32_t departures = 0;
  uint32_t sends = 0;
  std::vector<AttemptHandle> in_flight;
  std::vector<BackendStatePtr> failed;
  /// Different back ends whose connection ended while it was at work there.
  std::vector<BackendStatePtr> lost_with;
  std::optional<quarantine::Fingerprint> fingerprint;
  std::optional<RejectedAssignment> denied;
  Setback setback;
  SendCause next_cause = SendCause::kFirst;

  /// Under overload, it was let through.
  bool admitted = false;
  bool waiting = false;
  Time wait_until = absl::InfiniteFuture();
  Time hedge_at = absl::InfiniteFuture();
  /// When its timer runs out; infinite when it has none.
  Time timer = absl::InfiniteFuture();

  bool repeatable() const { return route->repeatability == catalog::Repeatability::kRepeatable; }
  admission::WaitQueue::Entry QueueEntry() const { return {route->priority, arrival, handle}; }
};

struct Attempt {
  /// 0: the request is forgotten, and only the back end's slot is still accounted for.
  RequestHandle request = 0;
  BackendStatePtr backend;
  ServiceState* service = nullptr;
  ownership::Fence fence = 0;
  Time started;
  /// An answer that takes longer is late, whatever its request waited for before.
  Duration timely = absl::InfiniteDuration();
  bool sent = false;
  /// It used up a permit of the back end's limit.
  bool permitted = false;
  /// It was charged to the retry budget when it was started.
  bool charged = false;
};

/// What an answer means for its request.
enum class AnswerMeaning {
  /// Pass it on.
  kFinal,
  /// Not run, and another back end, or the same later, may run it.
  kRefused,
  /// Its status would promise the caller that the request did not run, which is not known.
  kUnclear,
};

AnswerMeaning MeaningOf(const AttemptAnswer& answer);

}  // namespace ladderstream::forwarding
