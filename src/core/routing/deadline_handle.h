// Refuses requests that have no time left, and tells the next handle what is left.
#pragma once

#include <utility>

#include "core/routing/route_handle.h"

namespace ladderstream::routing {

class DeadlineHandle : public RouteHandle {
 public:
  DeadlineHandle(const TimeSource& time, RouteHandlePtr next)
      : time_(time), next_(std::move(next)) {}

  ForwardResponse Route(RouteContext& context) override;

 private:
  const TimeSource& time_;
  const RouteHandlePtr next_;
};

}  // namespace ladderstream::routing
