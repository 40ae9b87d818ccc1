#include "core/forwarding/owner_choice.h"

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

Choice Blocked(UnavailableReason unavailable_reason, BackendStatePtr blocking_backend = nullptr,
               Time retry_at = absl::InfiniteFuture()) {
  Choice choice;
  choice.unavailable_reason = unavailable_reason;
  choice.blocking_backend = std::move(blocking_backend);
  choice.retry_at = retry_at;
  choice.transient = unavailable_reason != UnavailableReason::kNoMap &&
                     unavailable_reason != UnavailableReason::kOwnerCold;
  return choice;
}

bool IsMoving(const ownership::ServiceOwnership& service, ownership::Key key) {
  return std::any_of(service.moving.begin(), service.moving.end(),
                     [key](const ownership::KeyRange& range) { return range.Contains(key); });
}

bool IsRejected(const std::optional<RejectedAssignment>& rejected,
                const ownership::Assignment& assignment) {
  return rejected && rejected->owner == assignment.owner && rejected->fence == assignment.fence;
}

}  // namespace

void OwnershipView::SetMap(std::shared_ptr<const ownership::OwnershipMap> map) {
  if (map != nullptr && map_ != nullptr && map->version < map_->version) {
    return;
  }
  map_ = std::move(map);
}

const ownership::ServiceOwnership* OwnershipView::Find(const std::string& service) const {
  if (map_ == nullptr) {
    return nullptr;
  }
  const auto found = map_->services.find(service);
  return found == map_->services.end() ? nullptr : &found->second;
}

Choice OwnerChoice::Choose(const ChoiceContext& context) {
  if (!ownership_.Confirmed(context.now)) {
    return Blocked(UnavailableReason::kNoMap);
  }
  const ownership::ServiceOwnership* service = ownership_.Find(context.service.name);
  if (service == nullptr) {
    return Blocked(UnavailableReason::kNoOwner);
  }
  const ownership::Key key = context.key.value_or(0);
  if (IsMoving(*service, key)) {
    return Blocked(UnavailableReason::kMoving);
  }
  const ownership::Assignment* assignment = ownership::FindAssignment(service->assignments, key);
  if (assignment == nullptr || assignment->owner.empty()) {
    return Blocked(UnavailableReason::kNoOwner);
  }
  return ChooseOwner(*assignment, context);
}

Choice OwnerChoice::ChooseOwner(const ownership::Assignment& assignment,
                                const ChoiceContext& context) const {
  const BackendStatePtr owner = services_.FindBackend(assignment.owner);
  if (owner == nullptr || owner->registration.service != context.service.name) {
    return Blocked(UnavailableReason::kNoOwner);
  }
  if (!owner->UsableAsOwner(context.now)) {
    return Blocked(UnavailableReason::kOwnerLeaving, owner);
  }
  if (!MaySendWhileCold(*owner, cold_senders_, context.now)) {
    return Blocked(UnavailableReason::kOwnerCold, owner);
  }
  if (IsRejected(context.rejected, assignment)) {
    return Blocked(UnavailableReason::kNotOwner, owner);
  }
  if (owner->InBackoff(context.now)) {
    return Blocked(UnavailableReason::kOwnerInBackoff, owner, owner->backoff_until);
  }
  const Time unreachable_until = owner->outlier.owner_unreachable_until();
  if (context.now < unreachable_until) {
    return Blocked(UnavailableReason::kOwnerUnreachable, owner, unreachable_until);
  }
  if (owner->load.Full(context.now)) {
    return Blocked(UnavailableReason::kOwnerFull, owner, owner->load.full_until());
  }
  if (limit_owners_ && !owner->owner_limit.Allows(owner->load.in_flight(), context.now)) {
    return Blocked(UnavailableReason::kOwnerFull, owner, owner->owner_limit.next_send());
  }
  if (!rates_.Allows(owner->registration.id, context.now)) {
    Choice choice = Blocked(UnavailableReason::kOwnerLimited, owner,
                            rates_.TryAgain(owner->registration.id, context.now));
    choice.request_permit_for = owner;
    choice.limit = rates_.limits().Find(owner->registration.id);
    return choice;
  }
  Choice choice;
  choice.backend = owner;
  choice.fence = assignment.fence;
  choice.expected_wait = owner->load.ExpectedWait(context.now);
  return choice;
}

}  // namespace ladderstream::forwarding
