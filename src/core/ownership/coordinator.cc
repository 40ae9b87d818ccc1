#include "core/ownership/coordinator.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"
#include "core/ownership/order_relay.h"

namespace ladderstream::ownership {
namespace {

/// Maximum time that a planned stop waits for unfinished writes and moves.
constexpr Duration kMaxResignDelay = absl::Milliseconds(1500);

}  // namespace

Coordinator::Impl::Impl(const CoordinatorSettings& settings, const NodeIdentity& self)
    : settings_(settings),
      self_(self),
      directory_(settings),
      watch_(settings, self),
      chain_(settings, self),
      orders_(settings.order_timeout) {}

void Coordinator::Impl::ReportStateChange(std::string_view event, std::string detail) {
  actions_.emplace_back(StateChangeAction{std::string(event), std::move(detail)});
}

std::vector<Action> Coordinator::Impl::TakeActions() {
  if (advance_due_) {
    Advance(*advance_due_);
  }
  return std::exchange(actions_, {});
}

void Coordinator::Impl::OnCatalog(const std::vector<catalog::Service>& sharded_services,
                                  const catalog::BackendChanges& changes, Time now) {
  std::set<std::string> listed;
  for (const catalog::Service& service : sharded_services) {
    listed.insert(service.name);
  }
  map_changed_ = map_changed_ || listed != listed_;
  listed_ = std::move(listed);
  const RegistrationChanges found = directory_.Update(changes, listed_, now);
  AskReplacedOwners(found.replaced, now);
  if (directory_.NeedsPruning()) {
    ForgetUnneededBackends();
  }
  if (found.any) {
    backends_changed_at_ = now;
    RunAllPartitionersSoon(now);
  }
  if (!has_catalog_) {
    has_catalog_ = true;
    watch_.Begin(now);
  }
  Advance(now);
}

void Coordinator::Impl::ForgetUnneededBackends() {
  std::set<std::string> needed;
  for (const auto& [name, service] : services_) {
    needed.merge(OwnersOf(service));
    for (const RepeatedRelease& release : service.repeated_releases) {
      needed.insert(release.backend);
    }
  }
  directory_.PruneUnregistered(needed);
}

void Coordinator::Impl::OnHeartbeat(const LeaseView& view, Time now) {
  if (role_ == Role::kResigned || (role_ == Role::kHolder && view.epoch <= epoch_)) {
    return;
  }
  if (role_ == Role::kHolder) {
    StepDown(state_change::kLeaseLost, absl::StrCat("heartbeat of epoch ", view.epoch), now);
  }
  switch (watch_.OnHeartbeat(view, now)) {
    case HolderWatch::Heartbeat::kIgnored:
      return;
    case HolderWatch::Heartbeat::kOfNewHolder:
      ReportStateChange(
          state_change::kHolderChanged,
          absl::StrCat("epoch ", view.epoch, " at ", FormatEndpoint(view.peer_address)));
      break;
    case HolderWatch::Heartbeat::kOfKnownHolder:
      break;
  }
  if (!watch_.HolderUnrenewed(now)) {
    challenging_ = false;
    read_call_.reset();
  }
  next_wake_ = ComputeWake(now);
}

void Coordinator::Impl::OnCoordinatorEnded(uint64_t incarnation, Time now) {
  watch_.OnEnded(incarnation, now);
  Advance(now);
}

void Coordinator::Impl::OnLoad(const std::string& service,
                               const std::vector<partition::KeyCount>& counts,
                               const std::vector<partition::ServiceTimeSample>& samples, Time now) {
  ServiceState* state = FindService(service);
  if (state == nullptr) {
    return;
  }
  if (!counts.empty() && !state->has_requests) {
    state->has_requests = true;
    RunPartitionerSoon(*state, now);
  }
  state->partitioner->AddLoad(counts, now);
  state->partitioner->AddServiceTimes(samples, now);
  for (const partition::ServiceTimeSample& sample : samples) {
    directory_.RecordServed(sample.backend, sample.answers, now);
  }
}

void Coordinator::Impl::OnOwnerDeclined(const std::string& service, const std::string& backend,
                                        Duration backoff, Time now) {
  ServiceState* state = FindService(service);
  if (state == nullptr || !directory_.RecordDeclined(backend, backoff, now)) {
    return;
  }
  ReportStateChange(state_change::kOwnerDeclines,
                    absl::StrCat(backend, " of ", service, " for ", absl::FormatDuration(backoff)));
  RunPartitionerSoon(*state, now);
  AdvanceSoon(now);
}

void Coordinator::Impl::OnNotOwner(const std::string& service, Key key, Time now) {
  ServiceState* found = FindService(service);
  if (found == nullptr || key > kLastKey) {
    return;
  }
  RangeState& state = found->table.At(key);
  if (state.phase != RangePhase::kOwned || now - state.not_owner_at < settings_.order_timeout) {
    return;
  }
  state.not_owner_at = now;
  state.order_due = now;
  ReportStateChange(state_change::kOwnerDenied, absl::StrCat(service, " key ", key, " owner ",
                                                             state.owner, " fence ", state.fence));
  AdvanceSoon(now);
}

void Coordinator::Impl::OnStoreReply(CallId call, const store::StoreReply& reply, Time now) {
  if (read_call_ == call) {
    OnRead(reply, now);
  } else {
    OnChainOutcome(chain_.OnReply(call, reply), reply, now);
  }
  Advance(now);
}

void Coordinator::Impl::OnOrderReply(CallId call, const OrderReply& reply, Time now) {
  const std::optional<Order> order = orders_.Take(call);
  if (!order || (order->timed_out && !IsAnswer(reply.status))) {
    return;
  }
  if (reply.status != OrderStatus::kDone || order->kind == Order::Kind::kRelease ||
      blocked_.contains(order->backend)) {
    AdvanceSoon(now);
  }
  if (reply.status == OrderStatus::kOtherInstance) {
    OnOtherInstance(*order, now);
  } else if (order->kind == Order::Kind::kGrant) {
    OnGrantReply(*order, reply, now);
  } else {
    OnReleaseReply(*order, reply, now);
  }
}

void Coordinator::Impl::Resign(Time now) {
  if (role_ == Role::kResigned || resign_by_) {
    return;
  }
  resign_by_ = now + kMaxResignDelay;
  if (role_ == Role::kStandby) {
    challenging_ = false;
    read_call_.reset();
    role_ = Role::kResigned;
  }
  Advance(now);
}

LeaseView Coordinator::Impl::View() const {
  return {epoch_, self_.incarnation, self_.peer_address, chain_.lease_version()};
}

void Coordinator::Impl::Advance(Time now) {
  advance_due_.reset();
  if (role_ == Role::kStandby) {
    StandbyStep(now);
  } else if (role_ == Role::kHolder) {
    HolderStep(now);
  }
  next_wake_ = ComputeWake(now);
}

void Coordinator::Impl::HolderStep(Time now) {
  ReportLeaseValidity(now);
  RenewIfStoreDegraded(now);
  HandleTimedOutOrders(now);
  if (ResignIfDone(now)) {
    return;
  }
  if (Holds(now)) {
    HoldAndMove(now);
  }
  WriteStep(now);
}

void Coordinator::Impl::HoldAndMove(Time now) {
  EnsureServices(now);
  ReportUnresponsiveBackends(now);
  for (auto& [name, service] : services_) {
    if (!IsListed(name)) {
      continue;
    }
    FinishReleases(service, now);
    RunPartitioner(service, now);
    MergeFencesIfSettled(service, now);
    service.table.MergeAdjacent();
  }
  SendOrders(now);
  PublishIfChanged();
}

void Coordinator::Impl::PublishIfChanged() {
  if (!map_changed_ && map_.version.epoch == epoch_) {
    return;
  }
  map_changed_ = false;
  std::map<std::string, ServiceOwnership> current;
  for (const auto& [name, service] : services_) {
    if (IsListed(name)) {
      current[name] = service.table.Ownership();
    }
  }
  if (map_.version.epoch == epoch_ && current == map_.services) {
    return;
  }
  map_.version = {epoch_, ++sequence_};
  map_.services = std::move(current);
  actions_.emplace_back(PublishAction{map_});
}

Time Coordinator::Impl::ComputeWake(Time now) const {
  switch (role_) {
    case Role::kStandby:
      return StandbyWake();
    case Role::kHolder:
      return HolderWake(now);
    case Role::kResigned:
      return absl::InfiniteFuture();
  }
  return absl::InfiniteFuture();
}

Time Coordinator::Impl::HolderWake(Time now) const {
  Time wake = std::min(chain_.NextTimeout(), orders_.NextTimeout());
  if (!chain_.InFlight()) {
    const bool at_once = !chain_.attempts().empty() || HasReadyChanges(now);
    const Time due =
        at_once ? write_not_before_ : chain_.confirmed_sent() + settings_.lease_renewal;
    wake = std::min(wake, std::max(due, write_not_before_));
  }
  if (resign_by_) {
    wake = std::min(wake, *resign_by_);
  }
  if (!Holds(now)) {
    return wake;
  }
  if (orders_deferred_) {
    return now;
  }
  wake = std::min(wake, chain_.confirmed_sent() + settings_.lease);
  if (!renewed_for_degraded_store_) {
    wake = std::min(wake, chain_.confirmed_sent() + 2 * settings_.lease_renewal);
  }
  wake = std::min(wake, directory_.NextUnresponsiveCheck(now));
  for (const auto& [name, service] : services_) {
    if (IsListed(name)) {
      wake = std::min(wake, ServiceWake(service, now));
    }
  }
  return wake;
}

Time Coordinator::Impl::ServiceWake(const ServiceState& service, Time now) const {
  Time wake = absl::InfiniteFuture();
  // Overdue work waits for an event: an answer, a catalog change, or a time-out with its own wake.
  const auto consider = [&wake, now](Time due) {
    if (due > now) {
      wake = std::min(wake, due);
    }
  };
  consider(service.table.NextDue(now));
  for (const RangeState* state : service.table.Busy()) {
    consider(state->commit_not_before);
    if (state->phase == RangePhase::kOwned) {
      consider(state->next_fence == 0 ? absl::InfinitePast() : state->refence_due);
    } else if (state->phase == RangePhase::kReleasing) {
      consider(WaitOutEnd(*state));
    }
  }
  for (const RepeatedRelease& release : service.repeated_releases) {
    consider(release.due);
  }
  consider(service.partition_due);
  return wake;
}

Coordinator::Coordinator(const CoordinatorSettings& settings, const NodeIdentity& self)
    : impl_(std::make_unique<Impl>(settings, self)) {}

Coordinator::~Coordinator() = default;

void Coordinator::OnCatalog(const std::vector<catalog::Service>& sharded_services,
                            const catalog::BackendChanges& changes, Time now) {
  impl_->OnCatalog(sharded_services, changes, now);
}

void Coordinator::OnHeartbeat(const LeaseView& view, Time now) { impl_->OnHeartbeat(view, now); }

void Coordinator::OnCoordinatorEnded(uint64_t incarnation, Time now) {
  impl_->OnCoordinatorEnded(incarnation, now);
}

void Coordinator::OnLoad(const std::string& service, const std::vector<partition::KeyCount>& counts,
                         const std::vector<partition::ServiceTimeSample>& samples, Time now) {
  impl_->OnLoad(service, counts, samples, now);
}

void Coordinator::OnOwnerDeclined(const std::string& service, const std::string& backend,
                                  Duration backoff, Time now) {
  impl_->OnOwnerDeclined(service, backend, backoff, now);
}

void Coordinator::SetRateLimits(const std::map<std::string, double>& limits, Time now) {
  impl_->SetRateLimits(limits, now);
}
void Coordinator::OnNotOwner(const std::string& service, Key key, Time now) {
  impl_->OnNotOwner(service, key, now);
}

void Coordinator::OnStoreReply(CallId call, const store::StoreReply& reply, Time now) {
  impl_->OnStoreReply(call, reply, now);
}

void Coordinator::OnOrderReply(CallId call, const OrderReply& reply, Time now) {
  impl_->OnOrderReply(call, reply, now);
}

void Coordinator::OnTick(Time now) { impl_->OnTick(now); }

void Coordinator::Resign(Time now) { impl_->Resign(now); }

std::vector<Action> Coordinator::TakeActions() { return impl_->TakeActions(); }

Time Coordinator::NextWake() const { return impl_->NextWake(); }

bool Coordinator::Holds(Time now) const { return impl_->Holds(now); }

Time Coordinator::LeaseUntil() const { return impl_->LeaseUntil(); }

LeaseView Coordinator::View() const { return impl_->View(); }

const std::optional<LeaseView>& Coordinator::KnownHolder() const { return impl_->KnownHolder(); }

const OwnershipMap& Coordinator::Map() const { return impl_->Map(); }

}  // namespace ladderstream::ownership
