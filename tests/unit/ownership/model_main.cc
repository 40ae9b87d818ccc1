// Runs the ownership model for a range of seeds and reports the first violation of each.
//
// Arguments: COUNT [FIRST [segments]]; by default, the seeds that continuous integration runs. With
// "segments", row and commit limits are so small that each service takes several rows and a commit
// writes only a few of them. With "relays", orders may go through other nodes; with "paths",
// nodes losing the path to back ends is the only fault besides; with "links", cut links hold orders
// up; with "rows", registrations of back ends that do not run appear.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include "model_world.h"

namespace {

constexpr uint64_t kSeeds = 400;
constexpr uint64_t kMaxFailuresShown = 3;
constexpr ladderstream::ownership::CommitLimits kShortRows{
    .row_bytes = 80, .rows = 5, .changes = 3};

}  // namespace

int main(int argument_count, char** arguments) {
  using ladderstream::ownership::ModelCounts;
  using ladderstream::ownership::ModelWorld;
  const uint64_t count = argument_count > 1 ? std::stoull(arguments[1]) : kSeeds;
  const uint64_t first = argument_count > 2 ? std::stoull(arguments[2]) : 1;
  const std::string mode = argument_count > 3 ? arguments[3] : "";
  ladderstream::ownership::ModelOptions options;
  if (mode == "segments") {
    options.commit_limits = kShortRows;
  }
  options.only_path_cuts = mode == "paths";
  options.links_hold_orders = mode == "links";
  options.stray_rows = mode == "rows";
  options.relays_orders = options.only_path_cuts || mode == "relays";
  uint64_t failures = 0;
  ModelCounts sum;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    ModelWorld world(seed, options);
    const std::string violation = world.Run();
    sum.requests += world.counts().requests;
    sum.denied += world.counts().denied;
    sum.unroutable += world.counts().unroutable;
    sum.grants += world.counts().grants;
    sum.commits += world.counts().commits;
    sum.takeovers += world.counts().takeovers;
    sum.wakes += world.counts().wakes;
    sum.late_overlaps += world.counts().late_overlaps;
    if (violation.empty()) {
      continue;
    }
    ++failures;
    if (failures <= kMaxFailuresShown) {
      std::cout << world.TraceTail() << "\nseed " << seed << ": " << violation << "\n\n";
    }
  }
  std::cout << count << " seeds, " << failures << " with a violation; a seed has "
            << sum.requests / count << " requests (" << sum.denied / count << " denied, "
            << sum.unroutable / count << " not routable), " << sum.grants / count << " grants, "
            << sum.commits / count << " store writes, " << sum.takeovers / count << " takeovers, "
            << sum.wakes / count
            << " wakes; late grants beside another owner in all: " << sum.late_overlaps << "\n";
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
