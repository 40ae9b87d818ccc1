// Cold back ends: what reaches one in the busiest second, and how much of what it bears is used, by
// policy, event and number of nodes.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>

#include "bench/cold_start_model.h"
#include "bench/experiment.h"

namespace ladderstream::bench {
namespace {

constexpr int kPlays = 50;
constexpr uint32_t kNodes[] = {11, 74, 295, 1200};

struct NamedPolicy {
  ColdPolicy policy;
  const char* name;
};
constexpr NamedPolicy kPolicies[] = {{ColdPolicy::kSenders, "senders"},
                                     {ColdPolicy::kEqualShare, "equal share"},
                                     {ColdPolicy::kEachAlone, "each alone"}};

struct NamedEvent {
  ColdEvent event;
  const char* name;
};
constexpr NamedEvent kEvents[] = {{ColdEvent::kCalm, "calm"},
                                  {ColdEvent::kAllStart, "all start"},
                                  {ColdEvent::kHalfJoin, "half join"},
                                  {ColdEvent::kHalfVanish, "half vanish"},
                                  {ColdEvent::kHalfCutOff, "half cut off"},
                                  {ColdEvent::kChurn, "churn"}};

Report RunColdStart(uint64_t seed) {
  Report report;
  Table table{"requests to one cold back end (50 plays each)",
              {"policy", "event", "nodes", "most in a second", "bound", "used share"},
              {}};
  uint32_t over = 0;
  for (const NamedPolicy& policy : kPolicies) {
    for (const NamedEvent& event : kEvents) {
      for (const uint32_t nodes : kNodes) {
        ColdStart start;
        start.policy = policy.policy;
        start.event = event.event;
        start.nodes = nodes;
        const double bound = start.rate * start.overshoot + start.slack;
        uint32_t most = 0;
        double used = 0;
        for (int play = 0; play < kPlays; ++play) {
          start.seed = seed * kPlays + static_cast<uint64_t>(play);
          const ColdStartOutcome outcome = PlayColdStart(start);
          most = std::max(most, outcome.most_in_a_second);
          used += outcome.used_share / kPlays;
        }
        over += policy.policy == ColdPolicy::kSenders && most > bound ? 1 : 0;
        table.rows.push_back({policy.name, event.name, absl::StrCat(nodes), absl::StrCat(most),
                              FormatNumber(bound, 1), FormatNumber(used, 2)});
      }
    }
  }
  report.tables.push_back(std::move(table));
  report.findings.push_back(absl::StrCat("Senders went beyond the bound in ", over, " of ",
                                         std::size(kEvents) * std::size(kNodes),
                                         " rows; none is the target."));
  return report;
}

}  // namespace

std::vector<Experiment> ColdStartExperiments() {
  return {
      {"cold-start", "What reaches a cold back end from a whole fleet, by policy", RunColdStart}};
}

}  // namespace ladderstream::bench
