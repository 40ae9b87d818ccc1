// Choice of moves, releases, and waiting out unresponsive owners.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/ownership/assignments.h"
#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"

namespace ladderstream::ownership {
namespace {

/// Minimum time between two runs of a partitioner, however urgent.
constexpr Duration kPartitionGap = absl::Milliseconds(50);

/// Interval at which a successor checks whether all owners have answered its first grants.
constexpr Duration kFirstRenewalsRecheck = absl::Milliseconds(20);

/// A service is partitioned for the first time after this many settling times even if its back ends
/// still change. Without requests for its keys the limit is higher, since a back end that registers
/// after the first partition gets keys only when the load requires it.
constexpr int kMaxSettlingTimes = 4;
constexpr int kMaxSettlingTimesWithoutRequests = 16;

/// Optional moves are deferred while a store write has been unanswered for this share of its
/// time-out. A healthy store answers within a few hundredths of it.
constexpr double kMaxUnansweredShare = 0.25;

/// How long after an owner was waited out a grant sent to it may still arrive.
constexpr Duration kRepeatReleaseFor = absl::Seconds(15);

std::string Describe(const RangeState& state) {
  return absl::StrCat(state.range.first, "-", state.range.last, " of ", state.owner);
}

}  // namespace

void Coordinator::Impl::EnsureServices(Time now) {
  for (const std::string& name : listed_) {
    if (services_.contains(name)) {
      continue;
    }
    ServiceState& service = AddService(name);
    service.unpartitioned = true;
    service.unpartitioned_since = now;
    map_changed_ = true;
  }
}

void Coordinator::Impl::ReportUnresponsiveBackends(Time now) {
  for (const std::string& backend : directory_.TakeNewlyUnresponsive(now)) {
    ReportStateChange(state_change::kOwnerSilent, backend);
    RunAllPartitionersSoon(now);
  }
  for (const std::string& backend : directory_.ExpireVerdicts(now)) {
    ReportStateChange(state_change::kBackendEndWithdrawn,
                      absl::StrCat(backend, " is still registered"));
    RunAllPartitionersSoon(now);
  }
  for (const std::string& service : directory_.TakeUnreachedServices()) {
    ReportStateChange(state_change::kOwnersUnreached, service);
  }
}

Time Coordinator::Impl::WaitOutEnd(const RangeState& state) const {
  const Time granted =
      std::max(state.last_grant, LatestArrival(orders_.LatestOpenGrant(state.owner, state.range)));
  if (granted == absl::InfinitePast()) {
    return granted;
  }
  const double drift = 1 + settings_.clock_drift;
  const Time hold_end = granted + settings_.hold * drift + settings_.slack;
  const Time other_maps = std::max(state.moving_since, predecessor_until_);
  return std::max(hold_end, other_maps + settings_.map_confirmation * drift);
}

void Coordinator::Impl::FinishReleases(ServiceState& service, Time now) {
  for (const RangeState* state : service.table.Busy()) {
    const Key first = state->range.first;
    if (state->phase == RangePhase::kCommitting && !directory_.Accepts(state->next_owner) &&
        !chain_.Commits(service.name, state->next_fence)) {
      OnReleased(service, service.table.At(first), now);
    }
    if (state->phase != RangePhase::kReleasing) {
      continue;
    }
    if (directory_.HasEnded(state->owner)) {
      OnReleased(service, service.table.At(first), now);
    } else if (now >= WaitOutEnd(*state)) {
      ReportStateChange(state_change::kOwnerWaitedOut,
                        absl::StrCat(service.name, " ", Describe(*state)));
      if (!state->owner.empty()) {
        service.repeated_releases.push_back(
            {state->owner, state->range, state->next_fence, now, now + kRepeatReleaseFor});
      }
      OnReleased(service, service.table.At(first), now);
    }
  }
  std::erase_if(service.repeated_releases,
                [now](const RepeatedRelease& release) { return now >= release.until; });
}

void Coordinator::Impl::OnReleased(ServiceState& service, RangeState& state, Time now) {
  if (!directory_.Accepts(state.next_owner)) {
    state.phase = RangePhase::kReleased;
    state.next_owner.clear();
    RunPartitionerSoon(service, now);
    return;
  }
  state.phase = RangePhase::kCommitting;
}

void Coordinator::Impl::MarkMoving(RangeState& state, Time now) {
  if (!state.moving) {
    state.moving = true;
    state.moving_since = now;
    map_changed_ = true;
  }
}

void Coordinator::Impl::StartMove(ServiceState& service, RangeState& state, const std::string& to,
                                  Time now) {
  ReportStateChange(state_change::kMoveStarted,
                    absl::StrCat(service.name, " ", Describe(state), " to ", to));
  MarkMoving(state, now);
  state.next_owner = to;
  state.next_fence = NextFence();
  state.confirmed = false;
  state.fenced = false;
  const bool never_granted = WaitOutEnd(state) == absl::InfinitePast();
  if (!never_granted) {
    // The handover data of the owner before this one is outdated.
    state.handover.clear();
  }
  if (never_granted || directory_.HasEnded(state.owner)) {
    OnReleased(service, state, now);
    return;
  }
  state.phase = RangePhase::kReleasing;
  state.order_due = now;
}

bool Coordinator::Impl::IsBusy(const RangeState& state) const {
  switch (state.phase) {
    case RangePhase::kReleasing:
    case RangePhase::kCommitting:
      return true;
    case RangePhase::kReleased:
      return false;
    case RangePhase::kOwned:
      return state.next_fence != 0 || (state.moving && directory_.Keeps(state.owner));
  }
  return true;
}

size_t Coordinator::Impl::CountMoves(const ServiceState& service) const {
  const std::vector<const RangeState*> ranges = service.table.Busy();
  return static_cast<size_t>(std::count_if(ranges.begin(), ranges.end(),
                                           [](const RangeState* state) { return state->moving; }));
}

size_t Coordinator::Impl::CountPlannedMoves(const ServiceState& service) const {
  const std::vector<const RangeState*> ranges = service.table.Busy();
  return static_cast<size_t>(std::count_if(
      ranges.begin(), ranges.end(),
      [this](const RangeState* state) { return state->moving && directory_.Keeps(state->owner); }));
}

void Coordinator::Impl::ListMoves(const ServiceState& service, Assignments* view,
                                  std::vector<KeyRange>* busy) const {
  for (const auto& [first, state] : service.table.ranges()) {
    switch (state.phase) {
      case RangePhase::kOwned:
      case RangePhase::kReleasing:
        AppendCoalesced({state.range, state.owner, state.fence}, view);
        break;
      case RangePhase::kReleased:
        AppendCoalesced({state.range, "", 0}, view);
        break;
      case RangePhase::kCommitting:
        AppendCoalesced({state.range, state.next_owner, state.next_fence}, view);
        break;
    }
    if (IsBusy(state)) {
      busy->push_back(state.range);
    }
  }
}

void Coordinator::Impl::RunPartitioner(ServiceState& service, Time now) {
  if (now < service.partition_due || resign_by_) {
    return;
  }
  if (AwaitsFirstRenewals(service, now)) {
    service.partition_due = now + kFirstRenewalsRecheck;
    return;
  }
  if (now < service.answer_awaited_until) {
    service.partition_due = service.answer_awaited_until;
    return;
  }
  service.partition_due = now + settings_.partition_interval;
  service.partition_not_before = now + kPartitionGap;
  if (!directory_.AnyAccepts(service.name)) {
    return;
  }
  const std::vector<partition::PartitionBackend> backends =
      directory_.ForPartitioner(service.name, OwnersOf(service), now);
  std::vector<partition::ProposedMove> moves;
  if (service.unpartitioned) {
    const Duration settle = settings_.registration_settle;
    const int most = service.has_requests ? kMaxSettlingTimes : kMaxSettlingTimesWithoutRequests;
    const Time due =
        std::min(backends_changed_at_ + settle, service.unpartitioned_since + settle * most);
    if (now < due) {
      service.partition_due = due;
      return;
    }
    moves = service.partitioner->Initial(backends);
    service.unpartitioned = moves.empty();
    service.table.At(0).next_fence = NextFence();
    ReportStateChange(state_change::kServicePartitioned,
                      absl::StrCat(service.name, " in ", moves.size()));
  } else {
    Assignments view;
    std::vector<KeyRange> busy;
    ListMoves(service, &view, &busy);
    moves = service.partitioner->Propose(view, busy, backends, now);
  }
  size_t under_way = CountPlannedMoves(service);
  for (const partition::ProposedMove& move : moves) {
    ApplyProposal(service, move, now, &under_way);
  }
}

void Coordinator::Impl::ApplyProposal(ServiceState& service, const partition::ProposedMove& move,
                                      Time now, size_t* under_way) {
  if (move.range.last < move.range.first || move.range.last > kLastKey ||
      !directory_.Accepts(move.to)) {
    return;
  }
  service.table.SplitAt(move.range.first);
  service.table.SplitAt(move.range.last + 1);
  for (RangeState* state : service.table.Overlapping(move.range)) {
    if (!Covers(move.range, state->range) || IsBusy(*state)) {
      continue;
    }
    if (state->phase == RangePhase::kReleased) {
      state->next_owner = move.to;
      // Repeated releases under next_fence may still be on their way to the old owner.
      if (state->next_fence == 0 || move.to == state->owner) {
        state->next_fence = NextFence();
      }
      state->phase = RangePhase::kCommitting;
      continue;
    }
    const bool required = !directory_.Keeps(state->owner);
    const bool allowed = required || *under_way < settings_.partition_weights.max_moves;
    if (state->owner == move.to || !allowed) {
      continue;
    }
    if (!required && CommitsInDoubt(now)) {
      ReportMovesDeferred(now);
      continue;
    }
    StartMove(service, *state, move.to, now);
    *under_way += required ? 0 : 1;
  }
}

bool Coordinator::Impl::CommitsInDoubt(Time now) const {
  const std::vector<LeaseAttempt>& attempts = chain_.attempts();
  return StoreDegraded(now) ||
         std::any_of(attempts.begin(), attempts.end(), [&](const LeaseAttempt& attempt) {
           return now - attempt.sent >= settings_.store_timeout * kMaxUnansweredShare;
         });
}

void Coordinator::Impl::ReportMovesDeferred(Time now) {
  if (!moves_deferred_reported_) {
    moves_deferred_reported_ = true;
    ReportStateChange(state_change::kMovesPutOff,
                      absl::StrCat("lease confirmed ",
                                   absl::FormatDuration(absl::Trunc(now - chain_.confirmed_sent(),
                                                                    absl::Milliseconds(1))),
                                   " ago, ", chain_.attempts().size(), " writes unanswered"));
  }
}

std::set<std::string> Coordinator::Impl::OwnersOf(const ServiceState& service) const {
  std::set<std::string> owners;
  for (const auto& [first, state] : service.table.ranges()) {
    for (const std::string& owner : {state.owner, state.next_owner}) {
      if (!owner.empty()) {
        owners.insert(owner);
      }
    }
  }
  return owners;
}

void Coordinator::Impl::RunPartitionerSoon(ServiceState& service, Time now) {
  service.partition_due =
      std::min(service.partition_due, std::max(now, service.partition_not_before));
}

void Coordinator::Impl::RunAllPartitionersSoon(Time now) {
  for (auto& [name, service] : services_) {
    RunPartitionerSoon(service, now);
  }
}

}  // namespace ladderstream::ownership
