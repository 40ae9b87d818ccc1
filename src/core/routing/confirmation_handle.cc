#include "core/routing/confirmation_handle.h"

namespace ladderstream::routing {
namespace {

/// A node usually hears from its peers again, or is left by its callers, within this time.
constexpr Duration kUnconfirmedRetryAfter = absl::Milliseconds(500);

}  // namespace

ForwardResponse ConfirmationHandle::Route(RouteContext& context) {
  if (time_.Now() >= context.table->confirmed_until()) {
    return Refuse(ResultCode::kConfigurationUnconfirmed, kUnconfirmedRetryAfter);
  }
  return next_->Route(context);
}

}  // namespace ladderstream::routing
