// The key space of one service as its coordinator works on it: ranges, each with what happens to
// it.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::ownership {

enum class RangePhase {
  /// Committed to its owner, which is granted it and renewed.
  kOwned,
  /// Renewals have stopped; the release is repeated until it is answered or the hold has run out.
  kReleasing,
  /// No back end holds it, and no next owner is known.
  kReleased,
  /// No back end holds it, and its next owner is being committed.
  kCommitting,
};

struct RangeState {
  KeyRange range;
  RangePhase phase = RangePhase::kOwned;
  /// As committed; empty: nobody.
  std::string owner;
  Fence fence = 0;

  /// The latest moment at which the owner may have taken a grant, as far as no order in the order
  /// book says more; InfinitePast when it surely never took one.
  Time last_grant = absl::InfinitePast();
  /// When the next grant (kOwned) or release (kReleasing) is sent.
  Time order_due = absl::InfinitePast();
  /// The owner answered a grant of this coordinator.
  bool confirmed = false;
  /// Listed as moving: routing waits for it.
  bool moving = false;
  /// Since when; InfinitePast when not.
  Time moving_since = absl::InfinitePast();
  /// What the previous owner handed over, until the owner has confirmed its grant.
  std::string handover;

  /// The owner has seen a higher fence: nothing is sent under this one any more.
  bool fenced = false;
  /// kOwned: a higher fence for the same owner, to be committed; 0 for none.
  Fence next_fence = 0;
  /// When a fence that was refused is replaced.
  Time refence_due = absl::InfinitePast();
  /// When a node last said that the owner denies holding it.
  Time denied_at = absl::InfinitePast();
  /// Its change is not committed sooner: the store refused it.
  Time commit_not_before = absl::InfinitePast();
  /// Other phases: who gets it, under next_fence; empty while not known.
  std::string next_owner;

  /// Nothing is under way with it.
  bool Calm() const { return phase == RangePhase::kOwned && !moving && next_fence == 0; }
};

class RangeTable {
 public:
  /// Every key is free and was never held.
  RangeTable();
  /// Every range is owned as committed; its owner may have been granted it until `last_grant`.
  RangeTable(const Assignments& committed, Time last_grant);

  std::vector<RangeState>& ranges() { return ranges_; }
  const std::vector<RangeState>& ranges() const { return ranges_; }

  /// The range that holds `key`.
  RangeState& At(Key key);
  /// Those that share keys with `range`, in order.
  std::span<RangeState> Overlapping(const KeyRange& range);
  /// Cuts the range that holds `first`, so that one begins there; not one that is being released,
  /// committed or given another fence.
  void SplitAt(Key first);
  /// Cuts the range at this place, so that it ends with `last`, whatever its phase. Both parts go
  /// on as the whole did.
  void CutBehind(size_t place, Key last);
  /// Joins neighbours that agree in everything that matters.
  void MergeNeighbours();
  /// Owners and fences as routing sees them.
  ServiceOwnership Ownership() const;

 private:
  std::vector<RangeState> ranges_;
};

/// Whether two ranges share a key.
inline bool Overlap(const KeyRange& one, const KeyRange& other) {
  return one.first <= other.last && other.first <= one.last;
}

/// Whether `outer` holds every key of `inner`.
inline bool Covers(const KeyRange& outer, const KeyRange& inner) {
  return outer.first <= inner.first && inner.last <= outer.last;
}

}  // namespace ladderstream::ownership
