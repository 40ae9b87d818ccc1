// Grants and releases, and their answers.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"

namespace ladderstream::ownership {
namespace {

/// Interval at which the release of an owner that was waited out is repeated.
constexpr Duration kReleaseRepeatInterval = absl::Seconds(2);

/// Factor by which holds are renewed more often near the end of a lease that is not renewed.
constexpr int kFinalRenewalFactor = 4;

/// Each range is renewed within this share of its hold, however many ranges there are: 1.35 s of
/// 4.5 s with the default settings. This lets a successor renew every owner in time
/// (docs/DEPLOYING.md has the inequality).
constexpr double kMaxRenewalShare = 0.3;

/// Renewals are sent early by up to this share of their interval, so that renewals sent together
/// once do not stay synchronized.
constexpr double kRenewalSpread = 0.2;
constexpr uint64_t kSpreadSteps = 64;

/// Maximum number of orders per step; between steps the event loop reads answers, including those
/// to lease writes. At some 80 us of processor time per order, 32 orders take 5 ms on half a core.
constexpr size_t kOrdersPerStep = 32;

/// How long a successor delays balancing while owners have not answered its first grants.
constexpr Duration kFirstRenewalsTimeout = absl::Milliseconds(500);

// Order in which a back end's orders are sent.
enum Urgency : int {
  /// The hold may expire soon.
  kRenewLate = 0,
  /// Requests wait for these keys.
  kMove = 1,
  kRenew = 2,
  kRepeatedRelease = 3,
};

}  // namespace

bool Coordinator::Impl::StoreDegraded(Time now) const {
  return now - chain_.confirmed_sent() >= 2 * settings_.lease_renewal;
}

size_t Coordinator::Impl::CountRanges() const {
  size_t ranges = 0;
  for (const auto& [name, service] : services_) {
    ranges += service.table.size();
  }
  return ranges;
}

Duration Coordinator::Impl::RenewalInterval(Time now) const {
  const Duration wanted =
      LeaseEnds(now) ? settings_.hold_renewal / kFinalRenewalFactor : settings_.hold_renewal;
  const Duration affordable =
      absl::Seconds(static_cast<double>(CountRanges()) / settings_.renewals_per_second);
  return std::clamp(affordable, wanted, std::max(wanted, settings_.hold * kMaxRenewalShare));
}

Duration Coordinator::Impl::LastHold() const {
  return std::min(settings_.hold, settings_.map_confirmation);
}

Duration Coordinator::Impl::HoldOf(Time now) const {
  // No hold outlives the lease by more than a map confirmed at its end does. A successor waits for
  // such maps anyway, so it need not wait longer for an unresponsive owner.
  return std::min(settings_.hold, LeaseUntil() + LastHold() - now);
}

bool Coordinator::Impl::LeaseEnds(Time now) const {
  return now >= LeaseUntil() - std::max(settings_.hold - LastHold(), settings_.hold_renewal);
}

bool Coordinator::Impl::AwaitsFirstRenewals(const ServiceState& service, Time now) const {
  if (now >= took_over_at_ + kFirstRenewalsTimeout) {
    return false;
  }
  const std::vector<const RangeState*> ranges = service.table.Unconfirmed();
  return std::any_of(ranges.begin(), ranges.end(), [this](const RangeState* state) {
    const KnownBackend* owner = directory_.Find(state->owner);
    return state->phase == RangePhase::kOwned && !state->confirmed && MayGrant(*state) &&
           owner != nullptr && owner->failures == 0;
  });
}

void Coordinator::Impl::RenewAll(Time now) {
  for (auto& [name, service] : services_) {
    for (RangeState* state : service.table.All()) {
      if (state->phase == RangePhase::kOwned) {
        state->order_due = std::min(state->order_due, now);
      }
    }
  }
}

Time Coordinator::Impl::LatestArrival(Time sent) const { return sent + settings_.order_timeout; }

Coordinator::Impl::ServiceState* Coordinator::Impl::FindService(const std::string& name) {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

bool Coordinator::Impl::MayGrant(const RangeState& state) const {
  const KnownBackend* owner = directory_.Find(state.owner);
  if (state.fenced || owner == nullptr || owner->ended) {
    return false;
  }
  // An owner that is no longer registered may still run and serve: it keeps its keys while no other
  // back end can take them.
  const bool was_granted = state.last_grant != absl::InfinitePast();
  return owner->registered || (was_granted && !directory_.AnyAccepts(owner->service));
}

void Coordinator::Impl::CollectOrders(ServiceState& service, Time now,
                                      std::vector<OrderCandidate>* candidates) {
  for (const RangeState* state : service.table.Due(now)) {
    if (state->phase == RangePhase::kReleasing) {
      candidates->push_back({kMove, state->order_due, &service, state, nullptr});
    } else if (MayGrant(*state)) {
      int urgency = kRenew;
      if (state->moving) {
        urgency = kMove;
      } else if (!state->confirmed || now - state->last_grant > settings_.hold / 2) {
        urgency = kRenewLate;
      }
      candidates->push_back({urgency, state->order_due, &service, state, nullptr});
    }
  }
  for (RepeatedRelease& release : service.repeated_releases) {
    if (release.due <= now) {
      candidates->push_back({kRepeatedRelease, release.due, &service, nullptr, &release});
    }
  }
}

void Coordinator::Impl::SendOrders(Time now) {
  std::vector<OrderCandidate> candidates;
  for (auto& [name, service] : services_) {
    if (IsListed(name)) {
      CollectOrders(service, now, &candidates);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const OrderCandidate& one, const OrderCandidate& other) {
                     return std::tie(one.urgency, one.due) < std::tie(other.urgency, other.due);
                   });
  blocked_.clear();
  orders_deferred_ = false;
  size_t sent = 0;
  for (const OrderCandidate& candidate : candidates) {
    if (sent == kOrdersPerStep) {
      orders_deferred_ = true;
      return;
    }
    sent += SendOrder(candidate, now) ? 1 : 0;
  }
}

bool Coordinator::Impl::SendOrder(const OrderCandidate& candidate, Time now) {
  const bool is_repeated_release = candidate.repeated_release != nullptr;
  const std::string& backend =
      is_repeated_release ? candidate.repeated_release->backend : candidate.state->owner;
  const KeyRange& range =
      is_repeated_release ? candidate.repeated_release->range : candidate.state->range;
  const KnownBackend* known = directory_.Find(backend);
  if (known == nullptr) {
    return false;
  }
  if (orders_.CountOpen(backend) >= settings_.max_orders_per_backend ||
      orders_.HasOpen(backend, range)) {
    blocked_.insert(backend);
    return false;
  }
  ServiceState& service = *candidate.service;
  if (is_repeated_release) {
    candidate.repeated_release->due = now + kReleaseRepeatInterval;
    SendRelease(service, backend, known->address, range, candidate.repeated_release->fence, now);
  } else if (candidate.state->phase == RangePhase::kReleasing) {
    service.table.At(range.first).order_due = now + settings_.order_timeout;
    SendRelease(service, backend, known->address, range, candidate.state->next_fence, now);
  } else {
    SendGrant(service, service.table.At(range.first), known->address, now);
  }
  return true;
}

void Coordinator::Impl::SendGrant(ServiceState& service, RangeState& state, const Endpoint& address,
                                  Time now) {
  const CallId call = NextCall();
  const double spread = static_cast<double>(call % kSpreadSteps) / kSpreadSteps;
  state.order_due = now + RenewalInterval(now) * (1 - kRenewalSpread * spread);
  orders_.Add({call, Order::Kind::kGrant, service.name, state.owner, address, state.range,
               state.fence, now, false});
  directory_.RecordGrant(state.owner, address);
  actions_.emplace_back(GrantAction{call, state.owner, address, state.range, state.fence,
                                    HoldOf(now), state.handover,
                                    std::min(LeaseUntil(), now + settings_.slack)});
}

void Coordinator::Impl::SendRelease(ServiceState& service, const std::string& backend,
                                    const Endpoint& address, const KeyRange& range, Fence fence,
                                    Time now) {
  const CallId call = NextCall();
  orders_.Add(
      {call, Order::Kind::kRelease, service.name, backend, address, range, fence, now, false});
  actions_.emplace_back(ReleaseAction{call, backend, address, range, fence});
}

void Coordinator::Impl::HandleTimedOutOrders(Time now) {
  for (const Order& order : orders_.TakeTimedOut(now)) {
    OrderReply none;
    none.status = OrderStatus::kNoAnswer;
    if (order.kind == Order::Kind::kGrant) {
      OnGrantReply(order, none, now);
    } else {
      OnReleaseReply(order, none, now);
    }
  }
}

void Coordinator::Impl::OnBackendAnswered(const Order& order, Time now) {
  const BackendDirectory::AnswerEffects effects =
      directory_.RecordAnswer(order.backend, order.address, order.sent);
  if (effects.was_unresponsive) {
    ReportStateChange(state_change::kOwnerAnswers, order.backend);
  }
  if (effects.end_withdrawn) {
    ReportStateChange(state_change::kBackendEndWithdrawn,
                      absl::StrCat(order.backend, " answered an order sent later"));
  }
  if (effects.was_unresponsive || effects.end_withdrawn) {
    RunAllPartitionersSoon(now);
    AdvanceSoon(now);
  }
  if (effects.question_answered) {
    OnQuestionAnswered(now);
  }
  EndEarlierIncarnations(order, now);
}

void Coordinator::Impl::OnGrantReply(const Order& order, const OrderReply& reply, Time now) {
  ServiceState* service = FindService(order.service);
  if (service == nullptr) {
    return;
  }
  switch (reply.status) {
    case OrderStatus::kDone:
      OnBackendAnswered(order, now);
      OnGrantDone(*service, order, now);
      return;
    case OrderStatus::kFenced:
      OnBackendAnswered(order, now);
      OnGrantFenced(*service, order, now);
      return;
    default:
      OnGrantFailed(*service, order, reply.status, now);
  }
}

void Coordinator::Impl::OnGrantDone(ServiceState& service, const Order& order, Time now) {
  for (RangeState* found : service.table.Overlapping(order.range)) {
    RangeState& state = *found;
    if (state.owner != order.backend) {
      continue;
    }
    // The back end accepted the grant at some time between its send and now.
    state.last_grant = std::max(state.last_grant, now);
    if (state.phase != RangePhase::kOwned || state.fence != order.fence || state.fenced ||
        !Covers(order.range, state.range)) {
      continue;
    }
    if (!state.confirmed) {
      state.confirmed = true;
      AdvanceSoon(now);
    }
    if (state.moving) {
      state.moving = false;
      state.moving_since = absl::InfinitePast();
      state.handover.clear();
      map_changed_ = true;
      AdvanceSoon(now);
      ReportStateChange(state_change::kMoveFinished,
                        absl::StrCat(service.name, " ", state.range.first, "-", state.range.last,
                                     " to ", state.owner, " fence ", state.fence));
    }
  }
  for (RepeatedRelease& release : service.repeated_releases) {
    if (release.backend == order.backend && Overlap(release.range, order.range)) {
      release.due = now;
      AdvanceSoon(now);
    }
  }
}

void Coordinator::Impl::OnGrantFenced(ServiceState& service, const Order& order, Time now) {
  for (RangeState* found : service.table.Overlapping(order.range)) {
    RangeState& state = *found;
    if (state.phase != RangePhase::kOwned || state.owner != order.backend ||
        state.fence != order.fence) {
      continue;
    }
    if (Covers(order.range, state.range) && state.range != order.range) {
      // The higher fence may belong to another part of the range.
      state.order_due = now;
      continue;
    }
    state.fenced = true;
    state.confirmed = false;
    MarkMoving(state, now);
    if (state.next_fence == 0) {
      state.next_fence = NextFence();
      state.refence_due = std::max(now, state.refence_due);
    }
    ReportStateChange(
        state_change::kOwnerFenced,
        absl::StrCat(service.name, " ", state.range.first, "-", state.range.last, " of ",
                     state.owner, " fence ", state.fence, ", next ", state.next_fence));
  }
}

void Coordinator::Impl::OnGrantFailed(ServiceState& service, const Order& order, OrderStatus status,
                                      Time now) {
  const bool refused = status == OrderStatus::kUnreachable;
  directory_.RecordFailure(order.backend, refused, order.sent, now);
  const Duration pause = refused ? settings_.order_timeout / 2 : settings_.order_timeout;
  for (RangeState* found : service.table.Overlapping(order.range)) {
    RangeState& state = *found;
    if (state.owner != order.backend) {
      continue;
    }
    if (status == OrderStatus::kNoAnswer) {
      state.last_grant = std::max(state.last_grant, LatestArrival(order.sent));
    }
    if (state.phase == RangePhase::kOwned) {
      state.order_due = std::min(state.order_due, std::max(now, order.sent + pause));
    }
  }
}

void Coordinator::Impl::OnReleaseReply(const Order& order, const OrderReply& reply, Time now) {
  ServiceState* service = FindService(order.service);
  if (service == nullptr) {
    return;
  }
  if (reply.status != OrderStatus::kDone) {
    directory_.RecordUnansweredRelease(order.backend, now);
    return;
  }
  OnBackendAnswered(order, now);
  for (RangeState* found : service->table.Overlapping(order.range)) {
    RangeState& state = *found;
    if (state.phase == RangePhase::kReleasing && state.owner == order.backend &&
        state.next_fence == order.fence && Covers(order.range, state.range)) {
      state.handover = reply.handover;
      OnReleased(*service, state, now);
    }
  }
  std::erase_if(service->repeated_releases, [&order](const RepeatedRelease& release) {
    return release.backend == order.backend && release.fence == order.fence &&
           Covers(order.range, release.range);
  });
}

}  // namespace ladderstream::ownership
