#include "core/ownership/range_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/ownership/assignments.h"

namespace ladderstream::ownership {
namespace {

bool CanMerge(const RangeState& one, const RangeState& other) {
  return one.phase == RangePhase::kOwned && other.phase == RangePhase::kOwned &&
         one.owner == other.owner && one.fence == other.fence && one.next_fence == 0 &&
         other.next_fence == 0 && one.moving == other.moving && one.confirmed == other.confirmed &&
         one.handover == other.handover && one.fenced == other.fenced;
}

}  // namespace

RangeTable::RangeTable() {
  RangeState everything;
  everything.range = {0, kLastKey};
  everything.phase = RangePhase::kReleased;
  everything.moving = true;
  Touch(ranges_.emplace(0, std::move(everything)).first);
}

RangeTable::RangeTable(const Assignments& committed, Time last_grant) {
  for (const Assignment& assignment : committed) {
    RangeState state;
    state.range = assignment.range;
    state.owner = assignment.owner;
    state.fence = assignment.fence;
    if (assignment.owner.empty()) {
      state.phase = RangePhase::kReleased;
      state.moving = true;
    } else {
      state.last_grant = last_grant;
    }
    Touch(ranges_.emplace_hint(ranges_.end(), assignment.range.first, std::move(state)));
  }
}

RangeTable::Ranges::iterator RangeTable::Find(Key key) {
  return std::prev(ranges_.upper_bound(key));
}

RangeState& RangeTable::Touch(Ranges::iterator entry) {
  touched_.insert(entry->first);
  unmerged_.insert(entry->first);
  return entry->second;
}

RangeState& RangeTable::At(Key key) { return Touch(Find(key)); }

std::vector<RangeState*> RangeTable::Overlapping(const KeyRange& range) {
  std::vector<RangeState*> found;
  for (auto entry = Find(range.first); entry != ranges_.end() && entry->first <= range.last;
       ++entry) {
    found.push_back(&Touch(entry));
  }
  return found;
}

RangeTable::Indexed RangeTable::IndexedOf(const RangeState& state) {
  const bool ordered = state.phase == RangePhase::kOwned || state.phase == RangePhase::kReleasing;
  return {!state.Settled(), !state.confirmed, ordered ? state.order_due : absl::InfiniteFuture()};
}

void RangeTable::Replace(Key first, const Indexed* entry) const {
  const auto held = index_.find(first);
  if (held != index_.end()) {
    if (entry != nullptr && held->second == *entry) {
      return;
    }
    busy_.erase(first);
    unconfirmed_.erase(first);
    due_.erase({held->second.due, first});
    index_.erase(held);
  }
  if (entry == nullptr) {
    return;
  }
  index_.emplace(first, *entry);
  if (entry->busy) {
    busy_.insert(first);
  }
  if (entry->unconfirmed) {
    unconfirmed_.insert(first);
  }
  if (entry->due != absl::InfiniteFuture()) {
    due_.emplace(entry->due, first);
  }
}

void RangeTable::Reindex() const {
  indexed_ += touched_.size();
  for (const Key first : std::exchange(touched_, {})) {
    const auto entry = ranges_.find(first);
    if (entry == ranges_.end()) {
      Replace(first, nullptr);
    } else {
      const Indexed indexed = IndexedOf(entry->second);
      Replace(first, &indexed);
    }
  }
}

std::vector<const RangeState*> RangeTable::Find(const Keys& keys) const {
  std::vector<const RangeState*> found;
  found.reserve(keys.size());
  for (const Key first : keys) {
    found.push_back(&ranges_.at(first));
  }
  return found;
}

std::vector<const RangeState*> RangeTable::Busy() const {
  Reindex();
  return Find(busy_);
}

std::vector<const RangeState*> RangeTable::Unconfirmed() const {
  Reindex();
  return Find(unconfirmed_);
}

std::vector<const RangeState*> RangeTable::Due(Time now) const {
  Reindex();
  std::vector<const RangeState*> found;
  for (auto entry = due_.begin(); entry != due_.end() && entry->first <= now; ++entry) {
    found.push_back(&ranges_.at(entry->second));
  }
  return found;
}

Time RangeTable::NextDue(Time now) const {
  Reindex();
  const auto next = due_.upper_bound({now, kLastKey + 1});
  return next == due_.end() ? absl::InfiniteFuture() : next->first;
}

void RangeTable::CutAt(Key first) {
  const auto found = Find(first);
  RangeState tail = Touch(found);
  tail.range.first = first;
  found->second.range.last = first - 1;
  Touch(ranges_.emplace_hint(std::next(found), first, std::move(tail)));
}

void RangeTable::SplitAt(Key first) {
  if (first > kLastKey) {
    return;
  }
  const RangeState& found = Find(first)->second;
  const bool can_split = found.phase == RangePhase::kReleased ||
                         (found.phase == RangePhase::kOwned && found.next_fence == 0);
  if (found.range.first != first && can_split) {
    CutAt(first);
  }
}

void RangeTable::CutAfter(Key last) {
  if (Find(last)->second.range.last != last) {
    CutAt(last + 1);
  }
}

bool RangeTable::MergeWithNext(Ranges::iterator entry) {
  const auto next = std::next(entry);
  if (next == ranges_.end() || !CanMerge(entry->second, next->second)) {
    return false;
  }
  RangeState& merged = Touch(entry);
  const RangeState& other = Touch(next);
  merged.range.last = other.range.last;
  merged.last_grant = std::max(merged.last_grant, other.last_grant);
  merged.order_due = std::min(merged.order_due, other.order_due);
  merged.refence_due = std::max(merged.refence_due, other.refence_due);
  merged.moving_since = std::max(merged.moving_since, other.moving_since);
  ranges_.erase(next);
  return true;
}

void RangeTable::MergeAdjacent() {
  for (const Key first : std::exchange(unmerged_, {})) {
    auto entry = ranges_.find(first);
    if (entry == ranges_.end()) {
      continue;
    }
    while (MergeWithNext(entry)) {
    }
    if (entry != ranges_.begin()) {
      MergeWithNext(std::prev(entry));
    }
  }
  unmerged_.clear();
}

ServiceOwnership RangeTable::Ownership() const {
  ServiceOwnership ownership;
  for (const auto& [first, state] : ranges_) {
    AppendCoalesced({state.range, state.owner, state.fence}, &ownership.assignments);
    if (!state.moving) {
      continue;
    }
    if (!ownership.moving.empty() && ownership.moving.back().last + 1 == state.range.first) {
      ownership.moving.back().last = state.range.last;
    } else {
      ownership.moving.push_back(state.range);
    }
  }
  return ownership;
}

}  // namespace ladderstream::ownership
