// Sends a request of a service routed by load to the better of two back ends drawn at random.
//
// "Better" goes by what this node itself saw: attempts under way times smoothed latency. Suspect
// and draining back ends, and those the request has already tried, come last.
#pragma once

#include <atomic>
#include <cstdint>

#include "core/health/group_health.h"
#include "core/routing/route_handle.h"

namespace ladderstream::routing {

class LeastLoadedHandle : public RouteHandle {
 public:
  /// `time` and `sender` must outlive the handle.
  LeastLoadedHandle(const TimeSource& time, const health::GroupSettings& settings, uint64_t seed,
                    AttemptSender& sender)
      : time_(time), settings_(settings), draws_(seed), sender_(sender) {}

  /// kNoOwner when the service has no back end with a home node.
  ForwardResponse Route(RouteContext& context) override;

 private:
  const BackendRoute* Choose(const RouteContext& context, Time now);
  const BackendRoute* BetterOfTwo(const std::vector<const BackendRoute*>& candidates);
  size_t Draw(size_t count);

  const TimeSource& time_;
  const health::GroupSettings settings_;
  /// Counts the draws; each is hashed into a random number, so that threads need no lock.
  std::atomic<uint64_t> draws_;
  AttemptSender& sender_;
};

/// Records in `state` what came of an attempt that took `latency`.
void RecordAttempt(BackendState& state, const ForwardResponse& response, Duration latency,
                   Time now);

}  // namespace ladderstream::routing
