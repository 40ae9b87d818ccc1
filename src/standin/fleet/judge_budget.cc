#include "standin/fleet/judge_budget.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "standin/fleet/judge_configuration.h"

namespace ladderstream::fleet {
namespace {

/// What happened at one service, in order.
struct ServiceTimes {
  /// What callers sent on a route to the service, whether or not it arrived there.
  std::vector<Time> requests;
  /// Arrivals beyond the first of a request.
  std::vector<Time> repeats;
};

/// The newest version that was acknowledged before `at`; null when there is none.
const catalog::Configuration* NewestAt(const History& history, Time at) {
  const catalog::Configuration* newest = nullptr;
  for (const ConfigurationEvent& event : history.configurations) {
    if (event.acknowledged <= at) {
      newest = &event.configuration;
    }
  }
  return newest;
}

void CollectRequests(const History& history, std::map<std::string, ServiceTimes>* services) {
  for (const Attempt& attempt : history.attempts) {
    const catalog::Configuration* configuration = NewestAt(history, attempt.sent);
    const catalog::Route* route =
        configuration == nullptr ? nullptr : FindRoute(*configuration, attempt);
    if (route == nullptr) {
      continue;
    }
    for (const catalog::RouteTarget& target : route->targets) {
      (*services)[target.service].requests.push_back(attempt.sent);
    }
  }
}

std::map<std::string, ServiceTimes> Collect(const History& history) {
  std::map<std::string, ServiceTimes> services;
  CollectRequests(history, &services);
  std::unordered_set<std::string> seen;
  for (const Arrival& arrival : history.arrivals) {
    const bool is_first = seen.insert(arrival.request_id).second;
    if (!is_first) {
      services[arrival.service].repeats.push_back(arrival.at);
    }
  }
  for (auto& [service, times] : services) {
    std::sort(times.requests.begin(), times.requests.end());
    std::sort(times.repeats.begin(), times.repeats.end());
  }
  return services;
}

/// How many of the sorted times lie within a span.
double CountWithin(const std::vector<Time>& times, Time from, Time until) {
  return static_cast<double>(std::upper_bound(times.begin(), times.end(), until) -
                             std::lower_bound(times.begin(), times.end(), from));
}

/// The repeats allowed within the window that ends at `end`.
double Allowed(const ServiceTimes& times, const JudgeBounds& bounds, Time end) {
  const Duration window = bounds.budget_window;
  double requests = 0;
  for (const double windows_before : {0.0, 0.5, 1.0}) {
    const Time until = end - window * windows_before;
    requests = std::max(requests, CountWithin(times.requests, until - window, until));
  }
  return bounds.retry_budget_ratio * requests + bounds.retry_budget_slack;
}

}  // namespace

void JudgeBudget(const History& history, const JudgeBounds& bounds, Verdict* verdict) {
  for (const auto& [service, times] : Collect(history)) {
    for (const Time end : times.repeats) {
      const double repeats = CountWithin(times.repeats, end - bounds.budget_window, end);
      const double allowed = Allowed(times, bounds, end);
      if (repeats > allowed) {
        verdict->over_budget.Add(
            absl::StrCat(service, ": ", repeats, " repeats in a window, allowed ", allowed));
        break;
      }
    }
  }
}

}  // namespace ladderstream::fleet
