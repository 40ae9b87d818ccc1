// Who may send to a back end that is cold, and how fast, so that all nodes together keep within
// what it bears.
//
// A cold back end falls over at a few requests a second, and tens to thousands of nodes route
// without asking each other. An equal share of the rate would be almost nothing for each (4.2 a
// second over 295 nodes), and independent nodes meet by chance. So for each back end a few nodes,
// drawn by rendezvous hashing over the list of members, are its senders; each leaves a fixed time
// between two sends, and to all other nodes the back end is as if it were not there.
//
// Nodes may hold different lists for a while. A node is a sender only if its list was confirmed
// within kListLifetime and every list that it held for kSettlingTime names it. Settling takes
// longer than a list lives: whoever becomes a sender by a newer list begins after those who only
// know the older one have stopped. While lists only grow, or only shrink, there are then never more
// than kSenders; the rate leaves room for twice as many, for changes both ways at once.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::allowance {

class ColdSenders {
 public:
  /// Senders of one back end. With one, a lost node leaves its back ends without any; with more,
  /// less of the rate is left, as each may send at the same moment.
  static constexpr size_t kSenders = 3;
  static constexpr Duration kListLifetime = absl::Seconds(2);
  static constexpr Duration kSettlingTime = absl::Milliseconds(2200);

  /// `self`: this node among the members. In any second all nodes may send `rate` x `overshoot` +
  /// `slack` requests to a back end whose cold rate is `rate`.
  ColdSenders(uint64_t self, double overshoot, double slack)
      : self_(self), overshoot_(overshoot), slack_(slack) {}

  void SetMembers(const std::vector<uint64_t>& members, Time now);
  /// The list of members may be relied upon until then.
  void SetConfirmed(Time until) { confirmed_until_ = until; }

  /// Whether this node is one of those that may send to `backend` while it is cold.
  bool IsSender(const std::string& backend, Time now) const;
  /// What a sender leaves between two sends to a back end whose cold rate is `rate`, above zero;
  /// infinite when the bound leaves no room.
  Duration Interval(double rate) const;

 private:
  struct HeldList {
    std::vector<uint64_t> members;
    /// When the next list took its place.
    Time replaced = absl::InfiniteFuture();
  };

  bool Names(const std::vector<uint64_t>& members, const std::string& backend) const;

  uint64_t self_;
  double overshoot_;
  double slack_;
  /// The one held now is the last; the first is empty, as at the start.
  std::deque<HeldList> lists_;
  Time confirmed_until_ = absl::InfinitePast();
};

}  // namespace ladderstream::allowance
