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
    const auto told = std::find_if(sent.begin(), sent.end(), [](const Sending& sending) {
      return sending.arrival->said_leaving;
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

}  // namespace

void JudgeWishes(const History& history, const JudgeBounds& bounds, Verdict* verdict) {
  WishJudge judge(history, bounds, verdict);
  for (const auto& [who, sent] : Collect(history)) {
    judge.Judge(who.first, sent);
  }
}

}  // namespace ladderstream::fleet
