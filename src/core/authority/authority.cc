#include "core/authority/authority.h"

#include "core/authority/authority_impl.h"

namespace ladderstream::authority {

Authority::Authority(const AuthoritySettings& settings, Time now)
    : impl_(std::make_unique<Impl>(settings, now)) {}

Authority::~Authority() = default;

std::vector<Action> Authority::Handle(const Event& event, Time now) {
  return impl_->Handle(event, now);
}

std::vector<Action> Authority::Tick(Time now) { return impl_->Tick(now); }

Time Authority::NextTick() const { return impl_->NextTick(); }

RoutingState Authority::routing_state(Time /*now*/) const { return impl_->routing_state(); }

Time Authority::confirmed_until() const { return impl_->confirmed_until(); }

AuthorityStatus Authority::status(Time now) const { return impl_->status(now); }

}  // namespace ladderstream::authority
