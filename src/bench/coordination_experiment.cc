// What the coordinator of one sharded service costs, by the number of back ends and ranges:
// takeover, calm, back ends that are replaced, back ends that fall silent.
#include <absl/strings/str_cat.h>

#include <memory>
#include <vector>

#include "bench/coordination_model.h"
#include "bench/experiment.h"

namespace ladderstream::bench {
namespace {

constexpr Duration kPhase = absl::Seconds(6);
constexpr Duration kPatience = absl::Seconds(20);
/// A release replaces so many of a hundred back ends in one step, as the deployments measured do.
constexpr size_t kReplacedPerStep = 18;
constexpr Duration kStep = absl::Seconds(1);
constexpr int kSteps = 6;
constexpr size_t kSilentShare = 11;

struct Size {
  size_t backends;
  size_t ranges;
};

constexpr Size kSizes[] = {{33, 100}, {99, 300}, {385, 1182}, {1200, 1200}, {4272, 4272}};

std::vector<std::string> Row(const Size& size, const std::string& phase,
                             const CoordinationModel& model, Duration length) {
  const CoordinationCosts& costs = model.costs();
  return {absl::StrCat(size.backends),
          absl::StrCat(model.CountRanges()),
          phase,
          FormatNumber(absl::ToDoubleMilliseconds(costs.longest_turn), 1),
          FormatNumber(absl::FDivDuration(costs.busy, length) * 100, 1),
          absl::StrCat(costs.grants),
          absl::StrCat(costs.releases),
          absl::StrCat(costs.commits),
          absl::StrCat(costs.leases_lost),
          absl::StrCat(model.CountMoving())};
}

void AddPhases(const Size& size, uint64_t seed, Table* phases, Table* takeovers) {
  CoordinationSettings settings;
  settings.backends = size.backends;
  settings.ranges = size.ranges;
  settings.seed = seed;
  CoordinationModel model(settings);
  const Time start = model.now();
  const Duration renewed = model.RunUntilRenewed(start, kPatience);
  takeovers->rows.push_back(
      {absl::StrCat(size.backends), absl::StrCat(size.ranges),
       FormatNumber(absl::ToDoubleMilliseconds(renewed), 0),
       FormatNumber(absl::ToDoubleMilliseconds(model.costs().longest_turn), 1),
       absl::StrCat(model.costs().leases_lost)});
  model.Run(kPhase);
  model.ClearCosts();
  model.Run(kPhase);
  phases->rows.push_back(Row(size, "calm", model, kPhase));
  model.ClearCosts();
  for (int step = 0; step < kSteps; ++step) {
    model.Replace(size.backends / kReplacedPerStep);
    model.Run(kStep);
  }
  phases->rows.push_back(Row(size, "replaced", model, kStep * kSteps));
  model.ClearCosts();
  model.Silence(size.backends / kSilentShare);
  model.Run(kPhase);
  phases->rows.push_back(Row(size, "silent", model, kPhase));
}

Report RunCoordinationScale(uint64_t seed) {
  Table takeovers{"Takeover: until every owner was renewed",
                  {"back ends", "ranges", "renewed ms", "longest turn ms", "leases lost"},
                  {}};
  Table phases{"Half a core; the machine's own time",
               {"back ends", "ranges", "phase", "longest turn ms", "busy %", "grants", "releases",
                "commits", "leases lost", "moving at the end"},
               {}};
  for (const Size& size : kSizes) {
    AddPhases(size, seed, &phases, &takeovers);
  }
  Report report;
  report.tables = {takeovers, phases};
  return report;
}

}  // namespace

std::vector<Experiment> CoordinationExperiments() {
  return {{"coordination-scale",
           "What the coordinator of up to 4,272 back ends costs, and whether it keeps its lease.",
           RunCoordinationScale}};
}

}  // namespace ladderstream::bench
