#include "standin/fleet/judge_ownership.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace ladderstream::fleet {
namespace {

using ownership::Fence;
using ownership::Key;
using ownership::KeyRange;

// Two holders without work count only after this.
constexpr Duration kIdleOverlap = absl::Milliseconds(500);

/// A time during which one back end held a range of keys.
struct Tenure {
  std::string backend;
  Time from;
  Time until;
  bool taken_late = false;
};

/// Judges the keys of one service, one elementary range after another: within such a range every
/// event concerns all keys or none.
class RangeJudge {
 public:
  RangeJudge(std::string service, const History& history, Verdict* verdict)
      : service_(std::move(service)), verdict_(verdict) {
    for (const HoldEvent& event : history.holds) {
      // A release ends a hold, wherever it lay before.
      const bool counts = !event.held_up || event.kind != HoldEvent::Kind::kGrant;
      if (event.service == service_ && counts) {
        events_.push_back(&event);
      }
    }
    for (const Arrival& arrival : history.arrivals) {
      if (arrival.service == service_ && arrival.key && arrival.ran()) {
        runs_.push_back(&arrival);
      }
    }
  }

  void JudgeAll() {
    std::set<Key> boundaries = {0};
    for (const HoldEvent* event : events_) {
      boundaries.insert(event->range.first);
      boundaries.insert(event->range.last + 1);
    }
    boundaries.insert(ownership::kLastKey + 1);
    for (auto at = boundaries.begin(); std::next(at) != boundaries.end(); ++at) {
      JudgeRange({*at, *std::next(at) - 1});
    }
  }

 private:
  void JudgeRange(const KeyRange& range) {
    std::map<std::string, std::vector<Tenure>> tenures;
    std::map<std::string, Fence> fences;
    for (const HoldEvent* event : events_) {
      if (!event->range.Contains(range.first)) {
        continue;
      }
      std::vector<Tenure>& own = tenures[event->backend];
      const bool held = !own.empty() && own.back().until > event->at;
      if (event->kind != HoldEvent::Kind::kGrant) {
        if (held) {
          own.back().until = event->at;
        }
        continue;
      }
      if (held) {
        own.back().until = std::max(own.back().until, event->until);
        own.back().taken_late = own.back().taken_late || event->taken_late;
      } else {
        CheckFence(range, *event, fences);
        own.push_back({.backend = event->backend,
                       .from = event->at,
                       .until = event->until,
                       .taken_late = event->taken_late});
      }
      fences[event->backend] = event->fence;
    }
    CheckTenures(range, tenures);
  }

  void CheckFence(const KeyRange& range, const HoldEvent& grant,
                  const std::map<std::string, Fence>& fences) {
    for (const auto& [backend, fence] : fences) {
      if (backend != grant.backend && fence >= grant.fence) {
        verdict_->fences.Add(absl::StrCat(Describe(range), ": ", grant.backend, " got fence ",
                                          grant.fence, " after ", backend, " had ", fence));
      }
    }
  }

  void CheckTenures(const KeyRange& range,
                    const std::map<std::string, std::vector<Tenure>>& tenures) {
    std::vector<Tenure> all;
    for (const auto& [backend, own] : tenures) {
      all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end(),
              [](const Tenure& left, const Tenure& right) { return left.from < right.from; });
    for (size_t first = 0; first < all.size(); ++first) {
      for (size_t second = first + 1; second < all.size(); ++second) {
        const bool overlap =
            all[second].from < all[first].until && all[first].backend != all[second].backend;
        if (overlap) {
          CheckOverlap(range, all[first], all[second]);
        }
      }
    }
  }

  void CheckOverlap(const KeyRange& range, const Tenure& first, const Tenure& second) {
    const Time until = std::min(first.until, second.until);
    const bool late = first.taken_late || second.taken_late;
    const bool both_begin = Begins(range, first.backend, second.from, until) &&
                            Begins(range, second.backend, second.from, until);
    const bool at_work = !late && IsAtWork(range, first.backend, second.from);
    const bool long_overlap = !late && until - second.from > kIdleOverlap;
    if (both_begin || at_work || long_overlap) {
      verdict_->two_owners.Add(absl::StrCat(
          Describe(range), ": ", first.backend, " and ", second.backend, " for ",
          absl::FormatDuration(until - second.from), both_begin ? ", both at work" : ""));
    }
  }

  bool Begins(const KeyRange& range, const std::string& backend, Time from, Time until) const {
    return std::any_of(runs_.begin(), runs_.end(), [&](const Arrival* run) {
      return run->backend == backend && range.Contains(*run->key) && run->begun >= from &&
             run->begun < until;
    });
  }

  bool IsAtWork(const KeyRange& range, const std::string& backend, Time at) const {
    return std::any_of(runs_.begin(), runs_.end(), [&](const Arrival* run) {
      return run->backend == backend && range.Contains(*run->key) && run->begun < at &&
             run->ended > at;
    });
  }

  std::string Describe(const KeyRange& range) const {
    return absl::StrCat(service_, " keys ", range.first, "-", range.last);
  }

  std::string service_;
  Verdict* verdict_;
  std::vector<const HoldEvent*> events_;
  std::vector<const Arrival*> runs_;
};

}  // namespace

void JudgeOwnership(const History& history, Verdict* verdict) {
  std::set<std::string> services;
  for (const HoldEvent& event : history.holds) {
    services.insert(event.service);
  }
  for (const std::string& service : services) {
    RangeJudge(service, history, verdict).JudgeAll();
  }
}

}  // namespace ladderstream::fleet
