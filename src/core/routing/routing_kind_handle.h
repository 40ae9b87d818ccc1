// Takes the branch that fits the service: by key or by load.
#pragma once

#include <utility>

#include "core/routing/route_handle.h"

namespace ladderstream::routing {

class RoutingKindHandle : public RouteHandle {
 public:
  RoutingKindHandle(RouteHandlePtr by_key, RouteHandlePtr by_load)
      : by_key_(std::move(by_key)), by_load_(std::move(by_load)) {}

  ForwardResponse Route(RouteContext& context) override;

 private:
  const RouteHandlePtr by_key_;
  const RouteHandlePtr by_load_;
};

}  // namespace ladderstream::routing
