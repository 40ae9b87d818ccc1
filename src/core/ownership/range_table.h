// The coordinator's working state of one service's key space: ranges and the transitions that they
// are in.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::ownership {

enum class RangePhase {
  /// Committed to its owner, which receives grants and renewals.
  kOwned,
  /// Renewals have stopped. The release is repeated until it is answered or the hold has expired.
  kReleasing,
  /// No back end holds it, and the next owner is not chosen yet.
  kReleased,
  /// No back end holds it, and the commit of its next owner is pending.
  kCommitting,
};

struct RangeState {
  KeyRange range;
  RangePhase phase = RangePhase::kOwned;
  /// The committed owner; empty if there is none.
  std::string owner;
  Fence fence = 0;

  /// The latest time at which the owner may have accepted a grant, apart from orders still in the
  /// order book. InfinitePast if it certainly never accepted one.
  Time last_grant = absl::InfinitePast();
  /// Send time of the next grant (kOwned) or release (kReleasing).
  Time order_due = absl::InfinitePast();
  /// The owner confirmed a grant of this coordinator.
  bool confirmed = false;
  /// The range is listed as moving in the map, so requests for it are held.
  bool moving = false;
  /// When `moving` was set; InfinitePast if it is not set.
  Time moving_since = absl::InfinitePast();
  /// Handover data of the previous owner, kept until the new owner confirms its grant.
  std::string handover;

  /// The owner has seen a higher fence, so no more orders are sent under this one.
  bool fenced = false;
  /// In kOwned: a higher fence for the same owner that is to be committed; 0 if there is none.
  Fence next_fence = 0;
  /// When a rejected fence is replaced.
  Time refence_due = absl::InfinitePast();
  /// When a node last reported that the owner rejected a request as not the owner.
  Time not_owner_at = absl::InfinitePast();
  /// Earliest time of the next commit attempt, set after the store rejected one.
  Time commit_not_before = absl::InfinitePast();
  /// In the other phases: the next owner, committed under next_fence; empty while not chosen.
  std::string next_owner;

  /// Returns whether no transition of the range is in progress.
  bool Settled() const { return phase == RangePhase::kOwned && !moving && next_fence == 0; }
};

/// Ranges by key, with indexes of the ranges in transition and of the times at which orders are
/// due. The cost of a coordinator step therefore depends on the work due in it and not on the
/// number of ranges.
///
/// Mutable pointers to ranges are valid until the next split or merge. Changes made through them
/// are indexed before the next query that uses an index.
class RangeTable {
 public:
  using Ranges = std::map<Key, RangeState>;

  /// Creates a table in which no key has an owner or was ever held.
  RangeTable();
  /// Creates a table in which every range is owned as committed. Owners may have accepted grants
  /// until `last_grant`.
  RangeTable(const Assignments& committed, Time last_grant);

  /// Ranges by their first key.
  const Ranges& ranges() const { return ranges_; }
  size_t size() const { return ranges_.size(); }

  /// Returns the range that contains `key`, for modification.
  RangeState& At(Key key);
  /// Returns the ranges that overlap `range`, sorted by key, for modification.
  std::vector<RangeState*> Overlapping(const KeyRange& range);
  /// Returns all ranges, for modification.
  std::vector<RangeState*> All() { return Overlapping({0, kLastKey}); }

  /// Returns the ranges in transition, sorted by key.
  std::vector<const RangeState*> Busy() const;
  /// Returns the ranges whose owner has not confirmed its grant, sorted by key.
  std::vector<const RangeState*> Unconfirmed() const;
  /// Returns the ranges whose grant or release is due, sorted by due time.
  std::vector<const RangeState*> Due(Time now) const;
  /// Returns when the next grant or release after `now` is due.
  Time NextDue(Time now) const;

  /// Splits the range that contains `first` so that a range begins there. No effect on a range that
  /// is being released, committed or given another fence.
  void SplitAt(Key first);
  /// Splits the range that contains `last` so that a range ends there, whatever its phase. Both
  /// parts keep the state of the range.
  void CutAfter(Key last);
  /// Merges adjacent ranges whose owner, fence and transition state are equal.
  void MergeAdjacent();
  /// Returns the owners, fences and moving ranges for the ownership map.
  ServiceOwnership Ownership() const;

  /// Returns how many ranges were indexed so far, for tests of the cost per step.
  uint64_t indexed() const { return indexed_; }

 private:
  struct Indexed {
    bool busy = false;
    bool unconfirmed = false;
    /// InfiniteFuture if no order is due.
    Time due = absl::InfiniteFuture();
    bool operator==(const Indexed&) const = default;
  };
  using Keys = std::set<Key>;

  static Indexed IndexedOf(const RangeState& state);
  std::vector<const RangeState*> Find(const Keys& keys) const;

  Ranges::iterator Find(Key key);
  /// Marks the range as changed and returns it for modification.
  RangeState& Touch(Ranges::iterator entry);
  void CutAt(Key first);
  /// Updates the indexes for all changed ranges.
  void Reindex() const;
  /// Replaces the indexed entry of the range that begins at `first`; null removes it.
  void Replace(Key first, const Indexed* entry) const;
  /// Merges the range with the next one if possible. Returns whether it did.
  bool MergeWithNext(Ranges::iterator entry);

  Ranges ranges_;
  /// First keys of ranges that may have changed since they were indexed.
  mutable Keys touched_;
  /// First keys of ranges that may have changed since adjacent ranges were last merged.
  Keys unmerged_;
  mutable std::map<Key, Indexed> index_;
  mutable Keys busy_;
  mutable Keys unconfirmed_;
  mutable std::set<std::pair<Time, Key>> due_;
  mutable uint64_t indexed_ = 0;
};

/// Returns whether two ranges share a key.
inline bool Overlap(const KeyRange& one, const KeyRange& other) {
  return one.first <= other.last && other.first <= one.last;
}

/// Returns whether `outer` contains every key of `inner`.
inline bool Covers(const KeyRange& outer, const KeyRange& inner) {
  return outer.first <= inner.first && inner.last <= outer.last;
}

}  // namespace ladderstream::ownership
