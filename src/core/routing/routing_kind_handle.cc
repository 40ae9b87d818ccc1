#include "core/routing/routing_kind_handle.h"

namespace ladderstream::routing {

ForwardResponse RoutingKindHandle::Route(RouteContext& context) {
  const bool by_load = context.service->configuration->routing == RoutingKind::kByLoad;
  return by_load ? by_load_->Route(context) : by_key_->Route(context);
}

}  // namespace ladderstream::routing
