// Who may send to a back end that is cold, and how fast, so that all nodes together keep within
// what it bears.
//
// A cold back end falls over at a few requests a second, and tens to thousands of nodes route
// without asking each other. An equal share of the rate would be almost nothing for each (4.2 a
// second over 295 nodes), and independent nodes meet by chance. So for each back end a few nodes
// (ChosenNodes) are its senders; each leaves a fixed time between two sends, and to all other nodes
// the back end is as if it were not there. Twice as many may act while the list of members changes
// both ways at once; the rate leaves room for that.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <string>

#include "core/allowance/chosen_nodes.h"
#include "wire/time.h"

namespace ladderstream::allowance {

class ColdSenders {
 public:
  /// Senders of one back end. With one, a lost node leaves its back ends without any; with more,
  /// less of the rate is left, as each may send at the same moment.
  static constexpr size_t kSenders = 3;

  /// In any second all nodes may send `rate` x `overshoot` + `slack` requests to a back end whose
  /// cold rate is `rate`. `nodes` must outlive this.
  ColdSenders(const ChosenNodes& nodes, double overshoot, double slack)
      : nodes_(nodes), overshoot_(overshoot), slack_(slack) {}

  /// Whether this node is one of those that may send to `backend` while it is cold.
  bool IsSender(const std::string& backend, Time now) const {
    return nodes_.MayAct(backend, kSenders, now);
  }
  /// What a sender leaves between two sends to a back end whose cold rate is `rate`, above zero;
  /// infinite when the bound leaves no room.
  Duration Interval(double rate) const;

 private:
  const ChosenNodes& nodes_;
  double overshoot_;
  double slack_;
};

}  // namespace ladderstream::allowance
