#include "core/routing/deadline_handle.h"

namespace ladderstream::routing {

ForwardResponse DeadlineHandle::Route(RouteContext& context) {
  if (context.cancellation->cancelled()) {
    return Refuse(ResultCode::kCancelled, absl::ZeroDuration());
  }
  context.message.remaining = context.deadline - time_.Now();
  if (context.message.remaining <= absl::ZeroDuration()) {
    return Refuse(ResultCode::kDeadlineUnreachable, absl::ZeroDuration());
  }
  return next_->Route(context);
}

}  // namespace ladderstream::routing
