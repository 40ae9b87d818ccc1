// Sends a request to the one back end that owns its key, under the grant's token.
#pragma once

#include "core/routing/route_handle.h"

namespace ladderstream::routing {

class OwnerHandle : public RouteHandle {
 public:
  /// `sender` must outlive the handle.
  explicit OwnerHandle(AttemptSender& sender) : sender_(sender) {}

  /// kNoOwner while nobody owns the key or the owner has no home node.
  ForwardResponse Route(RouteContext& context) override;

 private:
  AttemptSender& sender_;
};

}  // namespace ladderstream::routing
