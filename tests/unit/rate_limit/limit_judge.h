// Counts what reaches a back end that named a limit, as the back end would.
#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "wire/time.h"

namespace ladderstream::allowance {

/// From kBindsAfter after the limit was first named, any kWindow may bring kOvershoot times what
/// the limit allows and kSlack requests more, from the nodes that had passed on an answer with the
/// limit kHeardWithin before or earlier.
class LimitJudge {
 public:
  static constexpr Duration kBindsAfter = absl::Seconds(3);
  static constexpr Duration kWindow = absl::Seconds(4);
  static constexpr Duration kHeardWithin = absl::Milliseconds(500);
  static constexpr double kOvershoot = 1.5;
  static constexpr double kSlack = 5;

  explicit LimitJudge(double rate) : rate_(rate) {}

  /// `node` passed on an answer that named the limit.
  void OnTold(size_t node, Time now) {
    named_ = std::min(named_, now);
    told_.try_emplace(node, now);
  }
  /// A request of `node` reached the back end.
  void OnArrival(size_t node, Time now) {
    all_.push_back(now);
    const auto told = told_.find(node);
    if (told != told_.end() && now >= told->second + kHeardWithin) {
      counted_.push_back(now);
    }
  }

  /// The most that a window brought that counts, over what it may bring.
  double MostOver() const {
    double most = 0;
    for (auto last = counted_.begin(); last != counted_.end(); ++last) {
      if (*last >= named_ + kBindsAfter) {
        const auto first = std::upper_bound(counted_.begin(), last, *last - kWindow);
        most = std::max(most, static_cast<double>(std::distance(first, last) + 1));
      }
    }
    return most / (kOvershoot * rate_ * absl::ToDoubleSeconds(kWindow) + kSlack);
  }
  /// What came from `start` to `end`, over what the limit itself allows then.
  double Used(Time start, Time end) const {
    const auto count =
        std::count_if(all_.begin(), all_.end(), [=](Time at) { return at >= start && at < end; });
    return static_cast<double>(count) / (rate_ * absl::ToDoubleSeconds(end - start));
  }

 private:
  double rate_;
  Time named_ = absl::InfiniteFuture();
  std::map<size_t, Time> told_;
  std::vector<Time> all_;
  std::vector<Time> counted_;
};

}  // namespace ladderstream::allowance
