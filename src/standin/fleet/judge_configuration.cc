#include "standin/fleet/judge_configuration.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ladderstream::fleet {
namespace {

constexpr int kNotFound = 404;
/// Requests on routes added later, from which on their share of served ones counts.
constexpr uint64_t kAddedRouteRequests = 20;
/// Of the share of requests served on the first routes.
constexpr double kAddedRouteShare = 0.25;
/// What a request may take beyond the time-out of its route.
constexpr Duration kPastTimeout = absl::Milliseconds(500);
constexpr uint64_t kPastTimeoutAllowed = 7;
constexpr double kPastTimeoutShare = 0.25;
constexpr double kPendingShare = 0.5;
constexpr uint64_t kSplitRequests = 200;
constexpr double kSplitTolerance = 0.2;

/// What a node did with a request.
struct Handling {
  const Attempt* attempt = nullptr;
  /// The service that ran it; empty: the node answered that there is no route.
  std::string service;
  /// When it was seen.
  Time at;
};

class ConfigurationJudge {
 public:
  ConfigurationJudge(const History& history, const JudgeBounds& bounds, Verdict* verdict)
      : history_(history), bounds_(bounds), verdict_(verdict) {
    CollectHandlings();
  }

  void JudgeAll() {
    for (const Handling& handling : handlings_) {
      CheckInForce(handling);
    }
    CheckRegress();
    CheckAddedRoutes();
    CheckTimeouts();
    CheckSplits();
  }

 private:
  using Versions = std::vector<ConfigurationEvent>;

  void CollectHandlings() {
    std::unordered_map<std::string, const Attempt*> attempts;
    for (const Attempt& attempt : history_.attempts) {
      attempts[attempt.request_id] = &attempt;
      const bool denied =
          attempt.end == CallEnd::kAnswered && attempt.stamp.empty() && attempt.status == kNotFound;
      if (denied) {
        handlings_.push_back({&attempt, "", attempt.ended});
      }
    }
    for (const Arrival& arrival : history_.arrivals) {
      const auto attempt = attempts.find(arrival.request_id);
      if (arrival.ran() && attempt != attempts.end()) {
        handlings_.push_back({attempt->second, arrival.service, arrival.at});
      }
    }
    std::stable_sort(handlings_.begin(), handlings_.end(),
                     [](const Handling& a, const Handling& b) { return a.at < b.at; });
  }

  static bool Allows(const catalog::Configuration& configuration, const Handling& handling) {
    const catalog::Route* route = FindRoute(configuration, *handling.attempt);
    if (handling.service.empty() || route == nullptr) {
      return handling.service.empty() && route == nullptr;
    }
    return std::any_of(route->targets.begin(), route->targets.end(), [&](const auto& target) {
      return target.service == handling.service && target.weight > 0;
    });
  }

  /// Whether a version from number `first` on, acknowledged by `until`, allows the handling; gives
  /// the first of them.
  std::optional<size_t> FirstAllowing(const Handling& handling, size_t first, Time until) const {
    const Versions& versions = history_.configurations;
    for (size_t i = first; i < versions.size() && versions[i].acknowledged <= until; ++i) {
      if (Allows(versions[i].configuration, handling)) {
        return i;
      }
    }
    return std::nullopt;
  }

  /// Whether a disturbance that `counts` lasted at some moment of a span, or had ended less than
  /// `after` before.
  template <typename Counts>
  bool IsDisturbed(Time from, Time until, Duration after, Counts counts) const {
    return std::any_of(history_.disturbances.begin(), history_.disturbances.end(),
                       [&](const Disturbance& disturbance) {
                         return counts(disturbance) && disturbance.from <= until &&
                                disturbance.until + after > from;
                       });
  }

  bool NodeInTouch(size_t node, Time at) const {
    const bool disturbed = IsDisturbed(at, at, bounds_.contact, [node](const Disturbance& one) {
      return one.kind == DisturbanceKind::kNode && one.node.value_or(node) == node;
    });
    const bool started =
        std::any_of(history_.starts.begin(), history_.starts.end(), [&](const NodeStart& start) {
          return start.node == node && start.at <= at && start.at + bounds_.contact > at;
        });
    return !disturbed && !started;
  }

  /// The time in which a version acknowledged at `acknowledged` has to be in force at a node in
  /// touch, for a request sent at `at`.
  Duration ApplyBound(Time acknowledged, Time at) const {
    const bool stable = !IsDisturbed(at, at, bounds_.contact, [](const Disturbance& one) {
      return one.kind != DisturbanceKind::kNode;
    });
    if (stable) {
      return bounds_.config_apply;
    }
    const bool failed = IsDisturbed(
        acknowledged, at, absl::ZeroDuration(),
        [](const Disturbance& one) { return one.kind == DisturbanceKind::kStoreFailing; });
    return failed ? absl::InfiniteDuration() : bounds_.config_apply + bounds_.max_skew;
  }

  /// The number of the oldest version that may be in force for a request sent at `at` to a node in
  /// touch.
  size_t OldestInForce(Time at) const {
    const Versions& versions = history_.configurations;
    size_t oldest = 0;
    for (size_t i = 0; i < versions.size() && versions[i].acknowledged < at; ++i) {
      const Time acknowledged = versions[i].acknowledged;
      if (at - acknowledged > ApplyBound(acknowledged, at)) {
        oldest = i;
      }
    }
    return oldest;
  }

  std::string Describe(const Handling& handling) const {
    const Attempt& attempt = *handling.attempt;
    return absl::StrCat(attempt.request_id, " ", attempt.target, " at node ", attempt.node,
                        handling.service.empty() ? " denied" : " run by ", handling.service);
  }

  void CheckInForce(const Handling& handling) {
    const Time sent = handling.attempt->sent;
    const size_t oldest = OldestInForce(sent);
    const bool outdated = !FirstAllowing(handling, oldest, handling.at).has_value() &&
                          FirstAllowing(handling, 0, handling.at).has_value();
    if (outdated && NodeInTouch(handling.attempt->node, sent)) {
      const ConfigurationEvent& version = history_.configurations[oldest];
      verdict_->outdated.Add(
          absl::StrCat(Describe(handling), ", ", absl::FormatDuration(sent - version.acknowledged),
                       " after version ", version.configuration.version, " was acknowledged"));
    }
  }

  /// The start of the process of `node` that ran at `at`.
  Time LifeOf(size_t node, Time at) const {
    Time life = absl::InfinitePast();
    for (const NodeStart& start : history_.starts) {
      if (start.node == node && start.at <= at) {
        life = std::max(life, start.at);
      }
    }
    return life;
  }

  /// The lowest version that each process must have reached when a handling was seen.
  struct Reached {
    Time at;
    size_t version = 0;
  };

  void CheckRegress() {
    std::map<std::pair<size_t, Time>, std::vector<Reached>> lives;
    for (const Handling& handling : handlings_) {
      const Attempt& attempt = *handling.attempt;
      std::vector<Reached>& reached = lives[{attempt.node, LifeOf(attempt.node, attempt.sent)}];
      const size_t least = ReachedBefore(reached, attempt);
      const std::optional<size_t> version = FirstAllowing(handling, least, handling.at);
      if (!version.has_value()) {
        if (FirstAllowing(handling, 0, handling.at).has_value()) {
          verdict_->regressed.Add(absl::StrCat(Describe(handling), " after version ",
                                               history_.configurations[least].configuration.version,
                                               " had been in use there"));
        }
      } else if (reached.empty() || *version > reached.back().version) {
        reached.push_back({handling.at, *version});
      }
    }
  }

  size_t ReachedBefore(const std::vector<Reached>& reached, const Attempt& attempt) const {
    const bool in_touch = NodeInTouch(attempt.node, attempt.sent);
    const Duration slack =
        bounds_.rollback_slack * (in_touch ? 1 : bounds_.disturbed_rollback_factor);
    size_t version = 0;
    for (const Reached& one : reached) {
      if (one.at + slack < attempt.sent) {
        version = one.version;
      }
    }
    return version;
  }

  /// Whether nothing at all was disturbed for long enough.
  bool IsCalm(Time from, Time until) const {
    return !IsDisturbed(from, until, bounds_.contact, [](const Disturbance&) { return true; });
  }

  void CheckAddedRoutes() {
    const catalog::Configuration& first = history_.configurations.front().configuration;
    Share on_first;
    Share on_added;
    std::map<std::string, Share> by_route;
    for (const Attempt& attempt : history_.attempts) {
      if (!IsCalm(attempt.sent, attempt.sent)) {
        continue;
      }
      const bool served = attempt.end == CallEnd::kAnswered && attempt.status / 100 == 2;
      if (FindRoute(first, attempt) != nullptr) {
        on_first.Add(served);
      } else if (AllInForceHaveRoute(attempt)) {
        on_added.Add(served);
        by_route[RouteKeyOf(attempt)].Add(served);
      }
    }
    const auto check = [&](const std::string& name, const Share& added) {
      const bool enough = added.all >= kAddedRouteRequests && on_first.all > 0;
      if (enough && added.served_share() < kAddedRouteShare * on_first.served_share()) {
        verdict_->unserved_routes.Add(
            absl::StrCat(added.served, " of ", added.all, " requests on ", name, " were served"));
      }
    };
    for (const auto& [name, added] : by_route) {
      check(name, added);
    }
    if (verdict_->unserved_routes.count == 0) {
      check("routes added later", on_added);
    }
  }

  struct Share {
    uint64_t all = 0;
    uint64_t served = 0;

    void Add(bool is_served) {
      ++all;
      served += is_served ? 1 : 0;
    }
    double served_share() const { return static_cast<double>(served) / static_cast<double>(all); }
  };

  /// Names the route that the newest version in force has for an attempt.
  std::string RouteKeyOf(const Attempt& attempt) const {
    const catalog::Route* route =
        FindRoute(history_.configurations[OldestInForce(attempt.sent)].configuration, attempt);
    return route == nullptr ? "" : absl::StrCat(route->host, route->path_prefix);
  }

  bool AllInForceHaveRoute(const Attempt& attempt) const {
    const Versions& versions = history_.configurations;
    for (size_t i = OldestInForce(attempt.sent);
         i < versions.size() && versions[i].acknowledged <= attempt.ended; ++i) {
      if (FindRoute(versions[i].configuration, attempt) == nullptr) {
        return false;
      }
    }
    return true;
  }

  void CheckTimeouts() {
    uint64_t past = 0;
    std::vector<std::string> held;
    for (const Attempt& attempt : history_.attempts) {
      const Time timeout = attempt.sent + LongestTimeout(attempt);
      if (attempt.ended <= timeout || !NodeInTouch(attempt.node, attempt.sent) ||
          !NodeInTouch(attempt.node, timeout)) {
        continue;
      }
      ++past;
      if (attempt.ended > timeout + kPastTimeout) {
        held.push_back(absl::StrCat(
            attempt.request_id, " ", attempt.request_class, " at node ", attempt.node, ", sent ",
            absl::FormatDuration(attempt.sent - history_.configurations.front().acknowledged),
            " after the first version, ended after ",
            absl::FormatDuration(attempt.ended - attempt.sent)));
      }
    }
    const double share =
        static_cast<double>(held.size()) / static_cast<double>(std::max<uint64_t>(past, 1));
    const bool broken =
        (held.size() > kPastTimeoutAllowed && share > kPastTimeoutShare) || share > kPendingShare;
    for (size_t i = 0; broken && i < held.size(); ++i) {
      verdict_->past_timeout.Add(held[i]);
    }
  }

  /// The longest time-out of all versions that may be in force for it.
  Duration LongestTimeout(const Attempt& attempt) const {
    const Versions& versions = history_.configurations;
    Duration longest = absl::ZeroDuration();
    for (size_t i = OldestInForce(attempt.sent);
         i < versions.size() && versions[i].acknowledged <= attempt.ended; ++i) {
      const catalog::Route* route = FindRoute(versions[i].configuration, attempt);
      longest = std::max(longest, route == nullptr ? absl::InfiniteDuration() : route->timeout);
    }
    return longest;
  }

  void CheckSplits() {
    const Versions& versions = history_.configurations;
    for (size_t i = 0; i < versions.size(); ++i) {
      const Time from = versions[i].acknowledged + bounds_.config_apply;
      const Time until =
          i + 1 < versions.size() ? versions[i + 1].acknowledged : absl::InfiniteFuture();
      for (const catalog::Route& route : versions[i].configuration.routes) {
        if (route.targets.size() > 1) {
          CheckSplit(versions[i].configuration, route, from, until);
        }
      }
    }
  }

  void CheckSplit(const catalog::Configuration& configuration, const catalog::Route& route,
                  Time from, Time until) {
    std::map<std::string, double> runs;
    double all = 0;
    for (const Handling& handling : handlings_) {
      const Attempt& attempt = *handling.attempt;
      const bool counts = attempt.sent > from && attempt.sent < until &&
                          FindRoute(configuration, attempt) == &route &&
                          IsCalm(attempt.sent, attempt.sent);
      if (counts) {
        runs[handling.service] += 1;
        all += 1;
      }
    }
    double weights = 0;
    for (const catalog::RouteTarget& target : route.targets) {
      weights += target.weight;
    }
    for (const catalog::RouteTarget& target : route.targets) {
      const double off =
          all < kSplitRequests ? 0 : std::abs(runs[target.service] / all - target.weight / weights);
      if (off > kSplitTolerance) {
        verdict_->off_split.Add(absl::StrCat(route.name, " gave ", target.service, " ",
                                             runs[target.service], " of ", all, " requests"));
      }
    }
  }

  const History& history_;
  const JudgeBounds& bounds_;
  Verdict* verdict_;
  /// In the order in which they were seen.
  std::vector<Handling> handlings_;
};

}  // namespace

const catalog::Route* FindRoute(const catalog::Configuration& configuration,
                                const Attempt& attempt) {
  const catalog::Route* best = nullptr;
  for (const catalog::Route& route : configuration.routes) {
    const bool matches =
        route.host == attempt.host && absl::StartsWith(attempt.target, route.path_prefix);
    if (matches && (best == nullptr || best->path_prefix.size() < route.path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

void JudgeConfiguration(const History& history, const JudgeBounds& bounds, Verdict* verdict) {
  if (!history.configurations.empty()) {
    ConfigurationJudge(history, bounds, verdict).JudgeAll();
  }
}

}  // namespace ladderstream::fleet
