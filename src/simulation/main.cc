// ladderstream_simulate: runs seeded fault schedules against the decision library and judges them.
#include <absl/time/time.h>
#include <gflags/gflags.h>

#include <iostream>

#include "simulation/schedule_run.h"

DEFINE_uint64(seeds, 100, "how many seeds to run");
DEFINE_uint64(first_seed, 1, "the first seed");
DEFINE_string(duration, "30s", "simulated time with faults, for each seed");

namespace ladderstream::simulation {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

void Report(uint64_t seed, const RunResult& result, const FaultPlan& plan) {
  const FaultPlan smallest = Shrink(plan);
  std::cout << "FAILED seed " << seed << " " << result.violation << "\nminimal schedule, "
            << RunPlan(smallest).violation << "\n"
            << Describe(smallest) << std::flush;
}

int RunSeeds(Duration duration) {
  uint64_t failed = 0;
  Counts total;
  for (uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
    const FaultPlan plan = PlanOfSeed(seed, duration);
    const RunResult result = RunPlan(plan);
    total.events += result.counts.events;
    total.answered += result.counts.answered;
    total.not_run += result.counts.not_run;
    total.unknown += result.counts.unknown;
    total.moves += result.counts.moves;
    total.revisions += result.counts.revisions;
    if (!result.violation.empty()) {
      ++failed;
      Report(seed, result, plan);
    }
  }
  std::cout << "seeds=" << FLAGS_seeds << " failed=" << failed << " events=" << total.events
            << " answered=" << total.answered << " not_run=" << total.not_run
            << " unknown=" << total.unknown << " moves=" << total.moves
            << " revisions=" << total.revisions << "\n";
  return failed == 0 ? 0 : kExitFailed;
}

int Run() {
  Duration duration;
  if (!absl::ParseDuration(FLAGS_duration, &duration) || duration <= absl::ZeroDuration()) {
    std::cerr << "--duration=" << FLAGS_duration << " is not a duration such as 30s\n";
    return kExitUsage;
  }
  return RunSeeds(duration);
}

}  // namespace
}  // namespace ladderstream::simulation

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Runs seeded fault schedules and judges them.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return ladderstream::simulation::Run();
}
