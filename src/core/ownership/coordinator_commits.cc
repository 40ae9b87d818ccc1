// Changes of owners and fences, from proposal to store.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/ownership/assignments.h"
#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"

namespace ladderstream::ownership {
namespace {

/// The least time between two rounds of merging a service's ranges.
constexpr Duration kMergeInterval = absl::Seconds(2);

}  // namespace

Fence Coordinator::Impl::NextFence() { return FenceOf(epoch_, ++fences_drawn_); }

bool Coordinator::Impl::IsReady(const ServiceState& service, const RangeState& state,
                                Time now) const {
  if (state.phase == RangePhase::kCommitting) {
    return true;
  }
  if (state.phase != RangePhase::kOwned || state.next_fence == 0) {
    return false;
  }
  return now >= state.refence_due || chain_.Commits(service.name, state.next_fence);
}

bool Coordinator::Impl::HasReadyChanges(Time now) const {
  for (const auto& [name, service] : services_) {
    if (!IsListed(name)) {
      continue;
    }
    for (const RangeState& state : service.table.ranges()) {
      if (IsReady(service, state, now)) {
        return true;
      }
    }
  }
  return false;
}

std::vector<OwnershipChange> Coordinator::Impl::CollectChanges(
    Time now, std::map<std::string, std::string>* rows) {
  std::vector<OwnershipChange> changes;
  for (auto& [name, service] : services_) {
    if (!IsListed(name)) {
      continue;
    }
    const size_t before = changes.size();
    CollectChanges(service, now, &changes);
    if (changes.size() == before) {
      continue;
    }
    Assignments assignments = service.committed.empty() ? Unowned() : service.committed;
    for (size_t i = before; i < changes.size(); ++i) {
      AssignRange(changes[i].range, changes[i].owner, changes[i].fence, &assignments);
    }
    (*rows)[ServiceRowKey(name)] = EncodeRow(service, assignments);
  }
  return changes;
}

void Coordinator::Impl::CollectChanges(ServiceState& service, Time now,
                                       std::vector<OwnershipChange>* changes) {
  for (const RangeState& state : service.table.ranges()) {
    if (!IsReady(service, state, now)) {
      continue;
    }
    const bool to_other = state.phase == RangePhase::kCommitting;
    changes->push_back(
        {service.name, state.range, to_other ? state.next_owner : state.owner, state.next_fence});
  }
}

std::string Coordinator::Impl::EncodeRow(const ServiceState& service,
                                         const Assignments& assignments) const {
  ServiceRow row;
  row.assignments = assignments;
  std::set<std::string> owners = OwnersOf(service);
  for (const std::string& owner : owners) {
    const KnownBackend* known = directory_.Find(owner);
    if (known != nullptr) {
      row.addresses[owner] = known->address;
    }
  }
  return EncodeServiceRow(row);
}

void Coordinator::Impl::ApplyCommitted(const std::vector<OwnershipChange>& changes, Time now) {
  for (const OwnershipChange& change : changes) {
    const auto service = services_.find(change.service);
    if (service != services_.end()) {
      ApplyChange(service->second, change, now);
    }
  }
  if (!changes.empty()) {
    map_changed_ = true;
    Believe(belief::kAssignmentsCommitted,
            absl::StrCat(changes.size(), " up to fence ", changes.back().fence));
  }
}

void Coordinator::Impl::ApplyChange(ServiceState& service, const OwnershipChange& change,
                                    Time now) {
  if (service.committed.empty()) {
    service.committed = Unowned();
  }
  AssignRange(change.range, change.owner, change.fence, &service.committed);
  RangeState& state = service.table.At(change.range.first);
  if (state.range != change.range || state.next_fence != change.fence) {
    return;
  }
  if (state.phase == RangePhase::kCommitting) {
    state.phase = RangePhase::kOwned;
    state.owner = change.owner;
    state.next_owner.clear();
    state.last_grant = absl::InfinitePast();
    state.confirmed = false;
    std::erase_if(service.lingering, [&change](const LingeringRelease& release) {
      return release.backend == change.owner && Overlap(release.range, change.range);
    });
  }
  state.fence = change.fence;
  state.next_fence = 0;
  state.fenced = false;
  state.refence_due = now + settings_.order_timeout;
  state.order_due = now;
}

bool Coordinator::Impl::IsCalm(const ServiceState& service, Time now) const {
  if (resign_by_ || !chain_.attempts().empty() || StoreTroubled(now)) {
    return false;
  }
  for (const RangeState& state : service.table.ranges()) {
    if (!state.Calm() || !state.confirmed || !directory_.Keeps(state.owner)) {
      return false;
    }
  }
  return true;
}

void Coordinator::Impl::MergeFencesIfCalm(ServiceState& service, Time now) {
  if (now < service.merge_due || !IsCalm(service, now)) {
    return;
  }
  service.merge_due = now + kMergeInterval;
  std::vector<RangeState>& ranges = service.table.ranges();
  for (size_t i = 1; i < ranges.size(); ++i) {
    if (ranges[i - 1].owner != ranges[i].owner || ranges[i - 1].fence == ranges[i].fence) {
      continue;
    }
    if (ranges[i - 1].next_fence == 0) {
      ranges[i - 1].next_fence = NextFence();
      ranges[i - 1].refence_due = now;
    }
    ranges[i].next_fence = ranges[i - 1].next_fence;
    ranges[i].refence_due = now;
    Believe(belief::kRangesMerged,
            absl::StrCat(service.name, " at key ", ranges[i].range.first, " of ", ranges[i].owner));
  }
}

}  // namespace ladderstream::ownership
