// The key space of one service as its coordinator works on it: ranges, each with what happens to
// it.
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
  bool Settled() const { return phase == RangePhase::kOwned && !moving && next_fence == 0; }
};

/// Ranges by key, with indexes over those that something is under way with and over the times at
/// which orders are due, so that a step of the coordinator costs what is to be done in it.
///
/// Pointers to ranges that may be changed are valid until the next cut or join. What is changed
/// through one is indexed before the table is asked for anything that an index answers.
class RangeTable {
 public:
  using Ranges = std::map<Key, RangeState>;

  /// Every key is free and was never held.
  RangeTable();
  /// Every range is owned as committed; its owner may have been granted it until `last_grant`.
  RangeTable(const Assignments& committed, Time last_grant);

  /// By the first key.
  const Ranges& ranges() const { return ranges_; }
  size_t size() const { return ranges_.size(); }

  /// The range that holds `key`, to be changed.
  RangeState& At(Key key);
  /// Those that share keys with `range`, in order, to be changed.
  std::vector<RangeState*> Overlapping(const KeyRange& range);
  /// All of them, to be changed.
  std::vector<RangeState*> All() { return Overlapping({0, kLastKey}); }

  /// Those that something is under way with, in order.
  std::vector<const RangeState*> Busy() const;
  /// Those whose owner has not confirmed them, in order.
  std::vector<const RangeState*> Unconfirmed() const;
  /// Those whose grant or release is due, in order of the times.
  std::vector<const RangeState*> Due(Time now) const;
  /// When the next grant or release after `now` is due.
  Time NextDue(Time now) const;

  /// Cuts the range that holds `first`, so that one begins there; not one that is being released,
  /// committed or given another fence.
  void SplitAt(Key first);
  /// Cuts the range that holds `last`, so that one ends there, whatever its phase. Both parts go on
  /// as the whole did.
  void CutAfter(Key last);
  /// Joins neighbours that agree in everything that matters.
  void MergeAdjacent();
  /// Owners and fences as routing sees them.
  ServiceOwnership Ownership() const;

  /// Ranges put into the indexes anew so far.
  uint64_t indexed() const { return indexed_; }

 private:
  struct Indexed {
    bool busy = false;
    bool unconfirmed = false;
    /// Infinite when no order is due.
    Time due = absl::InfiniteFuture();
    bool operator==(const Indexed&) const = default;
  };
  using Keys = std::set<Key>;

  static Indexed IndexedOf(const RangeState& state);
  std::vector<const RangeState*> Find(const Keys& keys) const;

  Ranges::iterator Find(Key key);
  /// Notes that the range is about to be changed.
  RangeState& Touch(Ranges::iterator entry);
  void CutAt(Key first);
  /// Brings the indexes up to date with what was changed.
  void Reindex() const;
  /// Puts a range's entry, null for none, in the place of the one that the indexes hold.
  void Replace(Key first, const Indexed* entry) const;
  /// Joins the range with the one behind it if they agree. Gives whether it did.
  bool MergeWithNext(Ranges::iterator entry);

  Ranges ranges_;
  /// First keys of ranges that may have changed since they were indexed.
  mutable Keys touched_;
  /// The same since neighbours were last joined.
  Keys unmerged_;
  mutable std::map<Key, Indexed> index_;
  mutable Keys busy_;
  mutable Keys unconfirmed_;
  mutable std::set<std::pair<Time, Key>> due_;
  mutable uint64_t indexed_ = 0;
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
