// Tries a request again where that is safe, within the deadline and the service's retry budget.
#pragma once

#include <cstdint>
#include <utility>

#include "core/routing/route_handle.h"
#include "core/routing/routing_watch.h"

namespace ladderstream::routing {

struct RetrySettings {
  /// How long one request waits in all for newer routing.
  Duration routing_wait = absl::Milliseconds(250);
  /// Attempts for stale routing alone; these don't draw on the budget.
  uint32_t max_routing_attempts = 6;
};

class RetryHandle : public RouteHandle {
 public:
  /// `time` and `watch` must outlive the handle.
  RetryHandle(const RetrySettings& settings, const TimeSource& time, RoutingWatch& watch,
              RouteHandlePtr next)
      : settings_(settings), time_(time), watch_(watch), next_(std::move(next)) {}

  ForwardResponse Route(RouteContext& context) override;

 private:
  /// The waits of one request for newer routing.
  struct RoutingWaits {
    uint32_t attempts = 0;
    Duration left;
  };

  /// Whether another attempt may follow `response`; prepares the context for it.
  bool MayTryAgain(RouteContext& context, const ForwardResponse& response, RoutingWaits& waits);
  bool AwaitRouting(RouteContext& context, RoutingWaits& waits);

  const RetrySettings settings_;
  const TimeSource& time_;
  RoutingWatch& watch_;
  const RouteHandlePtr next_;
};

/// Points `context` to `table`. False when the service or the request is not declared any more.
bool UseTable(RouteContext& context, RouteTablePtr table);

}  // namespace ladderstream::routing
