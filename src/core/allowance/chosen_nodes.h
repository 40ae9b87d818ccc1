// Which few nodes have a part for a back end that all nodes use, drawn by rendezvous hashing over
// the list of members, so that nobody has to ask.
//
// Nodes may hold different lists for a while. A node acts only if its list was confirmed within
// kListLifetime and every list that it held for kSettlingTime names it. Settling takes longer than
// a list lives: whoever is chosen by a newer list begins after those who only know the older one
// have stopped. While lists only grow, or only shrink, no more act at a time than are chosen.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::allowance {

/// FNV-1a: every node must draw the same, whatever it was built with.
uint64_t HashOf(const std::string& text);

class ChosenNodes {
 public:
  static constexpr Duration kListLifetime = absl::Seconds(2);
  static constexpr Duration kSettlingTime = absl::Milliseconds(2200);

  /// `self`: this node among the members.
  explicit ChosenNodes(uint64_t self) : self_(self) {}

  void SetMembers(const std::vector<uint64_t>& members, Time now);
  /// The list of members may be relied upon until then.
  void SetConfirmed(Time until) { confirmed_until_ = until; }

  uint64_t self() const { return self_; }
  /// Whether this node is one of the `count` that are chosen for `backend`, and may act as one.
  bool MayAct(const std::string& backend, size_t count, Time now) const;
  /// The nodes chosen by the list held now, best first; fewer than `count` when the list is short,
  /// none when it may not be relied upon.
  std::vector<uint64_t> Chosen(const std::string& backend, size_t count, Time now) const;

 private:
  struct HeldList {
    std::vector<uint64_t> members;
    /// When the next list took its place.
    Time replaced = absl::InfiniteFuture();
  };

  bool Names(const std::vector<uint64_t>& members, const std::string& backend, size_t count) const;

  uint64_t self_;
  /// The one held now is the last; the first is empty, as at the start.
  std::deque<HeldList> lists_;
  Time confirmed_until_ = absl::InfinitePast();
};

}  // namespace ladderstream::allowance
