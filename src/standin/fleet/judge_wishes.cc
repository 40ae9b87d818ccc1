#include "standin/fleet/judge_wishes.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ladderstream::fleet {
namespace {

constexpr int kMisdirected = 421;
/// What was on its way when the wish was told does not count.
constexpr Duration kHeardWithin = absl::Milliseconds(500);
/// So many requests may come within a time of rest.
constexpr size_t kAllowedInRest = 2;

/// From so long after a back end first named its limit, it may get in any window so many times what
/// that allows and some requests more, from nodes that had heard of it in time.
constexpr Duration kLimitBindsAfter = absl::Seconds(3);
constexpr Duration kLimitWindow = absl::Seconds(4);
constexpr double kLimitOvershoot = 1.5;
constexpr double kLimitSlack = 5;

/// A request, by the node that a caller gave it to.
struct Sending {
  const Arrival* arrival = nullptr;
  Time sent;
};

/// What one node sent to one back end, in order of arrival.
using Sendings = std::map<std::pair<size_t, std::string>, std::vector<Sending>>;

Sendings Collect(const History& history) {
  std::unordered_map<std::string, const Attempt*> attempts;
  for (const Attempt& attempt : history.attempts) {
    attempts[attempt.request_id] = &attempt;
  }
  Sendings sendings;
  for (const Arrival& arrival : history.arrivals) {
    const auto attempt = attempts.find(arrival.request_id);
    if (attempt != attempts.end() && !arrival.held_up) {
      sendings[{attempt->second->node, arrival.backend}].push_back(
          {&arrival, attempt->second->sent});
    }
  }
  for (auto& [who, sent] : sendings) {
    std::stable_sort(sent.begin(), sent.end(), [](const Sending& a, const Sending& b) {
      return a.arrival->at < b.arrival->at;
    });
  }
  return sendings;
}

/// A restart, pause or cut of the node excuses it.
bool IsExcused(const History& history, size_t node, Time from, Time until) {
  return std::any_of(history.disturbances.begin(), history.disturbances.end(),
                     [&](const Disturbance& disturbance) {
                       return disturbance.node == node && disturbance.from < until &&
                              disturbance.until > from;
                     });
}

class WishJudge {
 public:
  WishJudge(const History& history, const JudgeBounds& bounds, Verdict* verdict)
      : history_(history), bounds_(bounds), verdict_(verdict) {}

  void Judge(size_t node, const std::vector<Sending>& sent) {
    for (const Sending& sending : sent) {
      if (sending.arrival->rest > absl::ZeroDuration()) {
        JudgeRest(node, sent, *sending.arrival);
      }
    }
    // What comes with a 421 may be another back end's at the same address, and tells a node
    // nothing.
    const auto told = std::find_if(sent.begin(), sent.end(), [](const Sending& sending) {
      return sending.arrival->said_leaving && sending.arrival->refused != kMisdirected;
    });
    if (told != sent.end()) {
      JudgeLeaving(node, sent, *told->arrival);
    }
  }

 private:
  void JudgeRest(size_t node, const std::vector<Sending>& sent, const Arrival& wish) {
    const Time from = wish.ended + kHeardWithin;
    const Time until = wish.ended + wish.rest;
    const auto within = std::count_if(sent.begin(), sent.end(), [&](const Sending& sending) {
      return sending.arrival->at > from && sending.arrival->at < until;
    });
    if (static_cast<size_t>(within) > kAllowedInRest &&
        !IsExcused(history_, node, wish.at, until)) {
      verdict_->over_budget.Add(
          absl::StrCat(wish.backend, ": node ", node, " sent it ", within, " requests after ",
                       wish.request_id, " within a rest of ", absl::FormatDuration(wish.rest)));
    }
  }

  void JudgeLeaving(size_t node, const std::vector<Sending>& sent, const Arrival& wish) {
    for (const Sending& sending : sent) {
      const bool late = sending.sent > wish.ended + bounds_.drain &&
                        sending.arrival->refused != kMisdirected &&
                        !IsExcused(history_, node, wish.at, sending.arrival->at);
      if (late) {
        verdict_->after_drain.Add(
            absl::StrCat(sending.arrival->request_id, " reached ", wish.backend, " ",
                         absl::FormatDuration(sending.arrival->at - wish.ended),
                         " after it told node ", node, " that it leaves"));
      }
    }
  }

  const History& history_;
  const JudgeBounds& bounds_;
  Verdict* verdict_;
};

/// Judges what all nodes together sent to one back end that named a limit.
class LimitJudge {
 public:
  LimitJudge(const History& history, Verdict* verdict) : history_(history), verdict_(verdict) {}

  /// `sent`: of all nodes, in order of arrival; each with its node.
  void Judge(const std::vector<std::pair<size_t, Sending>>& sent) {
    FindSpan(sent);
    if (until_ <= from_ + kLimitBindsAfter) {
      return;
    }
    std::vector<Time> counted;
    for (const auto& [node, sending] : sent) {
      if (sending.arrival->at <= until_ && HadHeard(sent, node, sending.arrival->at)) {
        counted.push_back(sending.arrival->at);
      }
    }
    const double allowed =
        kLimitOvershoot * highest_ * absl::ToDoubleSeconds(kLimitWindow) + kLimitSlack;
    for (auto last = counted.begin(); last != counted.end(); ++last) {
      const auto first = std::upper_bound(counted.begin(), last, *last - kLimitWindow);
      const auto count = std::distance(first, last) + 1;
      if (*last >= from_ + kLimitBindsAfter && static_cast<double>(count) > allowed) {
        verdict_->over_budget.Add(absl::StrCat(
            sent.front().second.arrival->backend, ": got ", count, " requests in ",
            absl::FormatDuration(kLimitWindow), " from nodes that it had told its limit of ",
            highest_, " a second, the last ", absl::FormatDuration(*last - from_),
            " after it first did"));
        return;
      }
    }
  }

 private:
  /// From the first answer with a limit to the first without one, or the last.
  void FindSpan(const std::vector<std::pair<size_t, Sending>>& sent) {
    from_ = absl::InfiniteFuture();
    until_ = absl::InfinitePast();
    highest_ = 0;
    for (const auto& [node, sending] : sent) {
      const Arrival& arrival = *sending.arrival;
      if (arrival.named_limit >= 0) {
        from_ = std::min(from_, arrival.ended);
        until_ = std::max(until_, arrival.ended);
        highest_ = std::max(highest_, arrival.named_limit);
      }
    }
    for (const auto& [node, sending] : sent) {
      const Arrival& arrival = *sending.arrival;
      const bool was_answered = arrival.status != 0 || arrival.refused != 0;
      if (arrival.named_limit < 0 && was_answered && arrival.ended > from_) {
        until_ = std::min(until_, arrival.ended);
      }
    }
  }

  /// The node passed on an answer with the limit in time, and nothing befell it since.
  bool HadHeard(const std::vector<std::pair<size_t, Sending>>& sent, size_t node, Time at) const {
    return std::any_of(sent.begin(), sent.end(), [&](const auto& other) {
      const Arrival& arrival = *other.second.arrival;
      return other.first == node && arrival.named_limit >= 0 &&
             arrival.ended + kHeardWithin <= at && !IsExcused(history_, node, arrival.ended, at);
    });
  }

  const History& history_;
  Verdict* verdict_;
  Time from_;
  Time until_;
  double highest_ = 0;
};

}  // namespace

void JudgeWishes(const History& history, const JudgeBounds& bounds, Verdict* verdict) {
  WishJudge judge(history, bounds, verdict);
  std::map<std::string, std::vector<std::pair<size_t, Sending>>> by_backend;
  for (const auto& [who, sent] : Collect(history)) {
    judge.Judge(who.first, sent);
    for (const Sending& sending : sent) {
      by_backend[who.second].emplace_back(who.first, sending);
    }
  }
  for (auto& [backend, sent] : by_backend) {
    std::stable_sort(sent.begin(), sent.end(), [](const auto& a, const auto& b) {
      return a.second.arrival->at < b.second.arrival->at;
    });
    LimitJudge(history, verdict).Judge(sent);
  }
}

}  // namespace ladderstream::fleet
