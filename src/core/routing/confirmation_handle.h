// Refuses requests while the node can't confirm that its configuration is the one in force.
#pragma once

#include <utility>

#include "core/routing/route_handle.h"

namespace ladderstream::routing {

class ConfirmationHandle : public RouteHandle {
 public:
  ConfirmationHandle(const TimeSource& time, RouteHandlePtr next)
      : time_(time), next_(std::move(next)) {}

  ForwardResponse Route(RouteContext& context) override;

 private:
  const TimeSource& time_;
  const RouteHandlePtr next_;
};

}  // namespace ladderstream::routing
