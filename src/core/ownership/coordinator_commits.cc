// Changes of owners and fences, from proposal to store.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/ownership/belief_events.h"
#include "core/ownership/coordinator_impl.h"
#include "wire/result_code.h"

namespace ladderstream::ownership {
namespace {

/// Minimum time between two rounds of merging a service's ranges.
constexpr Duration kMergeInterval = absl::Seconds(2);

/// Delay of a change that the store rejects even when it is sent alone.
constexpr Duration kRejectedChangeDelay = absl::Seconds(30);

}  // namespace

Fence Coordinator::Impl::NextFence() { return FenceOf(epoch_, ++fences_drawn_); }

bool Coordinator::Impl::IsReady(const ServiceState& service, const RangeState& state,
                                Time now) const {
  if (now < state.commit_not_before) {
    return false;
  }
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
    for (const RangeState* state : service.table.Busy()) {
      if (IsReady(service, *state, now)) {
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
    if (IsListed(name)) {
      CollectChanges(service, now, &changes);
    }
  }
  *rows = EncodeRows(changes);
  while (rows->size() > commit_limits_.rows && changes.size() > 1) {
    changes.resize(changes.size() / 2);
    *rows = EncodeRows(changes);
  }
  return changes;
}

void Coordinator::Impl::CollectChanges(ServiceState& service, Time now,
                                       std::vector<OwnershipChange>* changes) {
  for (const RangeState* state : service.table.Busy()) {
    if (changes->size() >= commit_limits_.changes) {
      return;
    }
    if (!IsReady(service, *state, now)) {
      continue;
    }
    const bool to_other = state->phase == RangePhase::kCommitting;
    OwnershipChange change{service.name, state->range, to_other ? state->next_owner : state->owner,
                           state->next_fence};
    change.range.last = service.rows.LastWithin(change.range, commit_limits_.RowsOfChange());
    service.table.CutAfter(change.range.last);
    changes->push_back(std::move(change));
  }
}

std::map<std::string, std::string> Coordinator::Impl::EncodeRows(
    const std::vector<OwnershipChange>& changes) const {
  const auto address_of = [this](const std::string& owner) {
    const KnownBackend* known = directory_.Find(owner);
    return known == nullptr ? Endpoint{} : known->address;
  };
  std::map<std::string, std::string> rows;
  for (size_t begin = 0; begin < changes.size();) {
    const ServiceState& service = services_.at(changes[begin].service);
    Assignments assignments;
    while (begin < changes.size() && changes[begin].service == service.name) {
      const OwnershipChange& change = changes[begin++];
      assignments.push_back({change.range, change.owner, change.fence});
    }
    service.rows.Encode(assignments, service.committed, address_of, commit_limits_.row_bytes,
                        &rows);
  }
  return rows;
}

void Coordinator::Impl::OnCommitRejected(const LeaseAttempt& attempt, const std::string& detail,
                                         Time now) {
  commit_limits_.Tighten(attempt.changes.size());
  const bool smaller = attempt.changes.size() > 1 || EncodeRows(attempt.changes) != attempt.rows;
  ReportStateChange(
      state_change::kCommitRejected,
      absl::StrCat("code ", static_cast<uint32_t>(ResultCode::kStoreRejectedWrite), ": ",
                   attempt.changes.size(), " changes in ", attempt.rows.size(), " rows: ", detail,
                   smaller ? ", retried in smaller transactions" : ", deferred"));
  if (smaller) {
    return;
  }
  for (const OwnershipChange& change : attempt.changes) {
    DeferChange(change, now);
  }
}

void Coordinator::Impl::DeferChange(const OwnershipChange& change, Time now) {
  ServiceState* service = FindService(change.service);
  if (service == nullptr) {
    return;
  }
  for (RangeState* state : service->table.Overlapping(change.range)) {
    state->commit_not_before = now + kRejectedChangeDelay;
  }
}

void Coordinator::Impl::ApplyCommitted(const LeaseAttempt& attempt, Time now) {
  const std::vector<OwnershipChange>& changes = attempt.changes;
  for (const OwnershipChange& change : changes) {
    const auto service = services_.find(change.service);
    if (service != services_.end()) {
      ApplyChange(service->second, change, now);
    }
  }
  for (auto& [name, service] : services_) {
    service.rows.OnWritten(attempt.rows);
  }
  if (!changes.empty()) {
    map_changed_ = true;
    ReportStateChange(state_change::kAssignmentsCommitted,
                      absl::StrCat(changes.size(), " up to fence ", changes.back().fence));
  }
}

void Coordinator::Impl::ApplyChange(ServiceState& service, const OwnershipChange& change,
                                    Time now) {
  service.committed.Assign(change.range, change.owner, change.fence);
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
    std::erase_if(service.repeated_releases, [&change](const RepeatedRelease& release) {
      return release.backend == change.owner && Overlap(release.range, change.range);
    });
  }
  state.fence = change.fence;
  state.next_fence = 0;
  state.fenced = false;
  state.refence_due = now + settings_.order_timeout;
  state.order_due = now;
}

bool Coordinator::Impl::IsSettled(const ServiceState& service, Time now) const {
  return !resign_by_ && chain_.attempts().empty() && !StoreDegraded(now) &&
         service.table.Busy().empty() && service.table.Unconfirmed().empty();
}

bool Coordinator::Impl::KeepsAllOwners(const ServiceState& service) const {
  const RangeTable::Ranges& ranges = service.table.ranges();
  return std::all_of(ranges.begin(), ranges.end(),
                     [this](const auto& entry) { return directory_.Keeps(entry.second.owner); });
}

void Coordinator::Impl::MergeFencesIfSettled(ServiceState& service, Time now) {
  if (now < service.merge_due || !IsSettled(service, now)) {
    return;
  }
  service.merge_due = now + kMergeInterval;
  if (!KeepsAllOwners(service)) {
    return;
  }
  std::vector<KeyRange> joined;
  const RangeState* previous = nullptr;
  for (const auto& [first, state] : service.table.ranges()) {
    if (previous != nullptr && previous->owner == state.owner && previous->fence != state.fence) {
      joined.push_back({previous->range.first, state.range.last});
    }
    previous = &state;
  }
  for (const KeyRange& neighbours : joined) {
    const std::vector<RangeState*> pair = service.table.Overlapping(neighbours);
    if (pair.front()->next_fence == 0) {
      pair.front()->next_fence = NextFence();
      pair.front()->refence_due = now;
    }
    pair.back()->next_fence = pair.front()->next_fence;
    pair.back()->refence_due = now;
    ReportStateChange(state_change::kRangesMerged,
                      absl::StrCat(service.name, " at key ", pair.back()->range.first, " of ",
                                   pair.back()->owner));
  }
}

}  // namespace ladderstream::ownership
