#include "core/ownership/range_table.h"

#include <algorithm>
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
  ranges_.push_back(everything);
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
    ranges_.push_back(std::move(state));
  }
}

RangeState& RangeTable::At(Key key) {
  return *std::partition_point(ranges_.begin(), ranges_.end(),
                               [key](const RangeState& state) { return state.range.last < key; });
}

std::span<RangeState> RangeTable::Overlapping(const KeyRange& range) {
  const auto begin = std::partition_point(
      ranges_.begin(), ranges_.end(),
      [&range](const RangeState& state) { return state.range.last < range.first; });
  const auto end = std::partition_point(begin, ranges_.end(), [&range](const RangeState& state) {
    return state.range.first <= range.last;
  });
  return {begin, end};
}

void RangeTable::SplitAt(Key first) {
  if (first > kLastKey) {
    return;
  }
  const auto found =
      std::partition_point(ranges_.begin(), ranges_.end(),
                           [first](const RangeState& state) { return state.range.last < first; });
  const bool can_split = found->phase == RangePhase::kReleased ||
                         (found->phase == RangePhase::kOwned && found->next_fence == 0);
  if (found->range.first == first || !can_split) {
    return;
  }
  RangeState head = *found;
  head.range.last = first - 1;
  found->range.first = first;
  ranges_.insert(found, std::move(head));
}

void RangeTable::CutBehind(size_t place, Key last) {
  RangeState tail = ranges_[place];
  tail.range.first = last + 1;
  ranges_[place].range.last = last;
  ranges_.insert(ranges_.begin() + static_cast<std::ptrdiff_t>(place) + 1, std::move(tail));
}

void RangeTable::MergeNeighbours() {
  size_t kept = 0;
  for (size_t i = 1; i < ranges_.size(); ++i) {
    if (CanMerge(ranges_[kept], ranges_[i])) {
      RangeState& merged = ranges_[kept];
      merged.range.last = ranges_[i].range.last;
      merged.last_grant = std::max(merged.last_grant, ranges_[i].last_grant);
      merged.order_due = std::min(merged.order_due, ranges_[i].order_due);
      merged.refence_due = std::max(merged.refence_due, ranges_[i].refence_due);
      merged.moving_since = std::max(merged.moving_since, ranges_[i].moving_since);
      continue;
    }
    ++kept;
    if (kept != i) {
      ranges_[kept] = std::move(ranges_[i]);
    }
  }
  ranges_.resize(kept + 1);
}

ServiceOwnership RangeTable::Ownership() const {
  ServiceOwnership ownership;
  for (const RangeState& state : ranges_) {
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
