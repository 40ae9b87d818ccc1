#include "standin/fleet/judge_budget.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace ladderstream::fleet {
namespace {

/// What happened at one service, in order.
struct ServiceTimes {
  /// First arrivals stand for the requests of the service's callers.
  std::vector<Time> requests;
  std::vector<Time> repeats;
};

std::map<std::string, ServiceTimes> Collect(const History& history) {
  std::map<std::string, ServiceTimes> services;
  std::unordered_map<std::string, bool> seen;
  for (const Arrival& arrival : history.arrivals) {
    ServiceTimes& times = services[arrival.service];
    const bool is_first = !std::exchange(seen[arrival.request_id], true);
    (is_first ? times.requests : times.repeats).push_back(arrival.at);
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
