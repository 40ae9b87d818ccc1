// Route handles: each is one policy on the way of a request, and hands it on to the next.
//
// A request goes down a tree of handles until one sends it to a back end's home node; the result
// comes back up. Handles hold no request's state, so one tree serves all threads. All I/O, waiting
// and time are behind interfaces.
#pragma once

#include <memory>
#include <utility>

#include "core/routing/cancellation.h"
#include "core/routing/route_table.h"
#include "core/routing/tried_backends.h"
#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::routing {

/// One request on its way. Used by one thread at a time.
struct RouteContext {
  /// The table this request is routed by; `service` and `rule` point into it.
  RouteTablePtr table;
  const ServiceRoute* service = nullptr;
  const RequestRule* rule = nullptr;
  /// Filled in for each attempt by the handle that chooses the back end.
  ForwardRequest message;
  Time deadline;
  CancellationPtr cancellation;
  /// Shared by all attempts of the request, also those that run side by side.
  TriedBackendsPtr tried;
};

/// Thread-safe.
class RouteHandle {
 public:
  virtual ~RouteHandle() = default;

  /// Blocks until the result is there.
  virtual ForwardResponse Route(RouteContext& context) = 0;
};

using RouteHandlePtr = std::unique_ptr<RouteHandle>;

/// Runs one attempt at the back end's home node, wherever that is. Thread-safe; never throws.
class AttemptSender {
 public:
  virtual ~AttemptSender() = default;

  /// Sends `context.message`, whose back end and token are set, to `home`.
  virtual ForwardResponse Send(const NodeDescriptor& home, RouteContext& context) = 0;
};

/// Makes the response of a request that was refused on this node.
inline ForwardResponse Refuse(ResultCode code, Duration retry_after) {
  ForwardResponse response;
  response.result = code;
  response.retry_after = retry_after;
  return response;
}

/// What the caller is told after two attempts of one request, of which `later` ended last. A
/// refusal proves only that its own attempt did not run: after an unknown outcome the whole stays
/// unknown.
inline ForwardResponse CombineAttempts(ForwardResponse earlier, ForwardResponse later) {
  const bool hides_unknown = OutcomeOf(earlier.result) == Outcome::kUnknown &&
                             OutcomeOf(later.result) == Outcome::kDidNotRun;
  return hides_unknown ? std::move(earlier) : std::move(later);
}

}  // namespace ladderstream::routing
