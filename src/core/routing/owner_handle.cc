#include "core/routing/owner_handle.h"

namespace ladderstream::routing {
namespace {

/// A lost owner's keys are given away within a lease; a planned move takes far less.
constexpr Duration kNoOwnerRetryAfter = absl::Milliseconds(200);

}  // namespace

ForwardResponse OwnerHandle::Route(RouteContext& context) {
  const ShardRoute& shard = context.service->Find(context.message.key);
  if (shard.owner == nullptr || shard.owner->home == nullptr) {
    return Refuse(ResultCode::kNoOwner, kNoOwnerRetryAfter);
  }
  context.message.backend = shard.owner->configuration->id;
  context.message.token = shard.token;
  return sender_.Send(*shard.owner->home, context);
}

}  // namespace ladderstream::routing
