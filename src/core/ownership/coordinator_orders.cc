// Grants and releases, and their answers.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"

namespace ladderstream::ownership {
namespace {

/// How often the release of an owner that was waited out is repeated.
constexpr Duration kLingeringInterval = absl::Seconds(2);

/// Near the end of a lease that is not renewed, holds are renewed this many times as often.
constexpr int kLastRenewals = 4;

/// However many ranges there are, each is renewed within this share of its hold: with the defaults
/// 1.35 s of 4.5 s, so that a successor still renews every owner in time (docs/DEPLOYING.md has the
/// inequality).
constexpr double kLatestRenewalShare = 0.3;

/// Renewals come up to this share of their interval sooner, so that those sent together once do not
/// come due together for ever.
constexpr double kRenewalSpread = 0.2;
constexpr uint64_t kSpreadSteps = 64;

/// Orders that one step sends at most; then the event loop reads answers, the lease's among them.
/// At some 80 us of processor time an order, 32 take 5 ms of half a core.
constexpr size_t kOrdersPerStep = 32;

/// For so long a successor leaves balancing alone while owners have not answered its first grants.
constexpr Duration kRenewsFirst = absl::Milliseconds(500);

// Which orders a back end gets first.
enum Urgency : int {
  /// The hold may be near its end.
  kRenewLate = 0,
  /// Callers wait for these keys.
  kMove = 1,
  kRenew = 2,
  kLingeringRelease = 3,
};

}  // namespace

bool Coordinator::Impl::StoreTroubled(Time now) const {
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
      LeaseEnds(now) ? settings_.hold_renewal / kLastRenewals : settings_.hold_renewal;
  const Duration affordable =
      absl::Seconds(static_cast<double>(CountRanges()) / settings_.renewals_per_second);
  return std::clamp(affordable, wanted, std::max(wanted, settings_.hold * kLatestRenewalShare));
}

Duration Coordinator::Impl::LastHold() const {
  return std::min(settings_.hold, settings_.map_confirmation);
}

Duration Coordinator::Impl::HoldOf(Time now) const {
  // No hold outlives the lease by more than the maps do that were confirmed at its end: a
  // successor, which waits for those, need not wait longer for an owner that does not answer.
  return std::min(settings_.hold, LeaseUntil() + LastHold() - now);
}

bool Coordinator::Impl::LeaseEnds(Time now) const {
  return now >= LeaseUntil() - std::max(settings_.hold - LastHold(), settings_.hold_renewal);
}

bool Coordinator::Impl::RenewsFirst(const ServiceState& service, Time now) const {
  if (now >= took_over_at_ + kRenewsFirst) {
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

Coordinator::Impl::ServiceState* Coordinator::Impl::FindService(const std::string& name) {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

bool Coordinator::Impl::MayGrant(const RangeState& state) const {
  const KnownBackend* owner = directory_.Find(state.owner);
  if (state.fenced || owner == nullptr || owner->ended) {
    return false;
  }
  // One that is no longer registered may live and serve: it keeps its keys while nobody else can
  // take them.
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
  for (LingeringRelease& release : service.lingering) {
    if (release.due <= now) {
      candidates->push_back({kLingeringRelease, release.due, &service, nullptr, &release});
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
  orders_left_ = false;
  size_t sent = 0;
  for (const OrderCandidate& candidate : candidates) {
    if (sent == kOrdersPerStep) {
      orders_left_ = true;
      return;
    }
    sent += SendOrder(candidate, now) ? 1 : 0;
  }
}

bool Coordinator::Impl::SendOrder(const OrderCandidate& candidate, Time now) {
  const bool lingers = candidate.lingering != nullptr;
  const std::string& backend = lingers ? candidate.lingering->backend : candidate.state->owner;
  const KeyRange& range = lingers ? candidate.lingering->range : candidate.state->range;
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
  if (lingers) {
    candidate.lingering->due = now + kLingeringInterval;
    SendRelease(service, backend, known->address, range, candidate.lingering->fence, now);
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
  orders_.Add(
      {call, Order::Kind::kGrant, service.name, state.owner, state.range, state.fence, now, false});
  actions_.emplace_back(GrantAction{call, state.owner, address, state.range, state.fence,
                                    HoldOf(now), state.handover,
                                    std::min(LeaseUntil(), now + settings_.order_timeout)});
}

void Coordinator::Impl::SendRelease(ServiceState& service, const std::string& backend,
                                    const Endpoint& address, const KeyRange& range, Fence fence,
                                    Time now) {
  const CallId call = NextCall();
  orders_.Add({call, Order::Kind::kRelease, service.name, backend, range, fence, now, false});
  actions_.emplace_back(ReleaseAction{call, backend, address, range, fence});
}

void Coordinator::Impl::GiveUpOrders(Time now) {
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

void Coordinator::Impl::NoteAnswer(const std::string& backend, Time now) {
  if (directory_.RecordAnswer(backend)) {
    Believe(belief::kOwnerAnswers, backend);
    AskAllSoon(now);
    AdvanceSoon(now);
  }
}

void Coordinator::Impl::OnGrantReply(const Order& order, const OrderReply& reply, Time now) {
  ServiceState* service = FindService(order.service);
  if (service == nullptr) {
    return;
  }
  switch (reply.status) {
    case OrderStatus::kDone:
      NoteAnswer(order.backend, now);
      OnGrantDone(*service, order, now);
      return;
    case OrderStatus::kFenced:
      NoteAnswer(order.backend, now);
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
    // Taken at some time between its send and now.
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
      Believe(belief::kMoveFinished,
              absl::StrCat(service.name, " ", state.range.first, "-", state.range.last, " to ",
                           state.owner, " fence ", state.fence));
    }
  }
  for (LingeringRelease& release : service.lingering) {
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
      // The higher fence may be that of another part.
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
    Believe(belief::kOwnerFenced,
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
      state.last_grant = std::max(state.last_grant, order.sent);
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
  NoteAnswer(order.backend, now);
  for (RangeState* found : service->table.Overlapping(order.range)) {
    RangeState& state = *found;
    if (state.phase == RangePhase::kReleasing && state.owner == order.backend &&
        state.next_fence == order.fence && Covers(order.range, state.range)) {
      state.handover = reply.handover;
      Released(*service, state, now);
    }
  }
  std::erase_if(service->lingering, [&order](const LingeringRelease& release) {
    return release.backend == order.backend && release.fence == order.fence &&
           Covers(order.range, release.range);
  });
}

}  // namespace ladderstream::ownership
